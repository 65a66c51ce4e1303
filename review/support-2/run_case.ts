/** Runs a case, writes its record, and exits with its verdict. */
import process from "node:process";
import { RunRecord } from "./record.ts";

const RULE_HELD = 0;
const RULE_BROKEN = 1;
const COULD_NOT_RUN = 2;
/** A run that has not ended by then could not run. */
const TIME_LIMIT_MILLISECONDS = 110_000;

export interface CaseOptions {
  readonly record: RunRecord;
  /** False: the same run without its disruption. */
  readonly hasTrouble: boolean;
  /** Registers what is called at the end of the run, also after a failure. */
  readonly onEnd: (close: () => Promise<void> | void) => void;
}

/** True if the rule held. */
export type Case = (options: CaseOptions) => Promise<boolean>;

/** Runs the case; `TROUBLE=0` leaves out its disruption. */
export async function runCase(folder: string, run: Case): Promise<void> {
  const record = new RunRecord();
  const closers: (() => Promise<void> | void)[] = [];
  const hasTrouble = process.env.TROUBLE !== "0";
  record.note(hasTrouble ? "with the disruption" : "without the disruption");
  const limit = new Promise<never>((_, reject) => {
    const late = () => reject(new Error("the time limit has passed"));
    setTimeout(late, TIME_LIMIT_MILLISECONDS).unref();
  });
  let exitCode = COULD_NOT_RUN;
  try {
    const onEnd = (close: () => Promise<void> | void) => {
      closers.push(close);
    };
    const holds = await Promise.race([
      run({ record, hasTrouble, onEnd }),
      limit,
    ]);
    exitCode = holds ? RULE_HELD : RULE_BROKEN;
    record.conclude(holds ? "the rule held" : "the rule was broken");
  } catch (cause) {
    record.conclude(`could not run: ${String(cause)}`);
  }
  for (const close of closers.reverse()) {
    await Promise.resolve(close()).catch(() => {});
  }
  record.write(`${folder}/record.txt`);
  process.exit(exitCode);
}
