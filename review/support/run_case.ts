/** Runs the main function of a case and exits with its code. */
import process from "node:process";

/** Exit code of a case that could not run. */
const DID_NOT_RUN = 2;
const SIGNALS = ["SIGINT", "SIGTERM", "SIGHUP"] as const;

/**
 * `main` gets the folder of the case and whether the disruption takes place,
 * and resolves with the exit code.
 */
export function runCase(
  main: (folder: string, hasTrouble: boolean) => Promise<number>,
): void {
  for (const signal of SIGNALS) {
    process.once(signal, () => process.exit(DID_NOT_RUN));
  }
  main(process.argv[2], process.env.TROUBLE !== "0").then(
    (code) => process.exit(code),
    (cause) => {
      console.error(cause);
      process.exit(DID_NOT_RUN);
    },
  );
}
