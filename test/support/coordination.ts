/** Coordination components of an entry over an in-memory log, for tests. */
import {
  type Claim,
  ClaimKeeper,
  OrdersFold,
  type OrdersFoldOptions,
} from "../../src/core/authority/mod.ts";
import {
  type ConfigurationContent,
  ConfigurationFold,
  ConfigurationJudge,
} from "../../src/core/configuration/mod.ts";
import { identifier } from "../../src/core/identity/mod.ts";
import type { Incarnation, ProcessId } from "../../src/core/identity/mod.ts";
import {
  Journal,
  type JournalOptions,
  type LogService,
  type StreamFold,
  type StreamName,
} from "../../src/core/journal/mod.ts";
import { hashToUnit } from "../../src/core/membership/mod.ts";
import { seededRandom } from "../../src/core/random/mod.ts";
import type { TimerService } from "../../src/core/time/mod.ts";
import { type FakeLog, type LogFaults, noFaults } from "./fake_log.ts";

export const CONFIGURATION: StreamName = identifier("configuration");
export const ORDERS: StreamName = identifier("orders.klang-valley");
export const CLAIM_SILENCE_MILLISECONDS = 3_000;

export interface TestProcessOptions {
  readonly log: FakeLog;
  readonly timer: TimerService;
  readonly name: string;
  readonly run?: number;
  readonly journal?: Partial<JournalOptions>;
  /** Opens the log connection; `log.connect` by default. */
  readonly connect?: (faults: LogFaults) => LogService;
}

/** A journal with its own log connection, whose faults a test can set. */
export interface TestJournal<Fold extends StreamFold> {
  readonly journal: Journal;
  readonly fold: Fold;
  readonly faults: LogFaults;
  readonly process: ProcessId;
  readonly incarnation: Incarnation;
}

export function makeJournal<Fold extends StreamFold>(
  fold: Fold,
  options: TestProcessOptions & { stream: StreamName },
): TestJournal<Fold> {
  const faults = noFaults();
  const process = identifier<ProcessId>(options.name);
  const run = options.run ?? 1;
  const incarnation = identifier<Incarnation>(`${options.name}-run-${run}`);
  const journal = new Journal({
    log: (options.connect ?? ((connectionFaults) =>
      options.log.connect(connectionFaults)))(faults),
    stream: options.stream,
    fold,
    timer: options.timer,
    random: seededRandom(seedOf(`${options.name} ${run}`)),
    writer: process,
    incarnation,
    appendDelayMilliseconds: 5,
    checkpointRecords: 1_000,
    ...options.journal,
  });
  return { journal, fold, faults, process, incarnation };
}

export type TestJudge = TestJournal<ConfigurationFold> & {
  readonly keeper: ClaimKeeper;
};

/**
 * An entry that follows the configuration stream and judges publications while
 * it holds the claim.
 */
export function makeJudge(options: TestProcessOptions): TestJudge {
  const fold = new ConfigurationFold();
  const testJournal = makeJournal(fold, {
    ...options,
    stream: CONFIGURATION,
    journal: {
      onApplied: () => {
        keeper.changed();
        judge.consider();
      },
      ...options.journal,
    },
  });
  const keeper = makeKeeper(testJournal, {
    timer: options.timer,
    onGained: () => judge.consider(),
  });
  const judge = new ConfigurationJudge({
    timer: options.timer,
    journal: testJournal.journal,
    fold,
    heldClaim: () => keeper.held?.offset,
  });
  testJournal.journal.start();
  keeper.start();
  return { ...testJournal, keeper };
}

export type TestPlanner = TestJournal<OrdersFold> & {
  readonly keeper: ClaimKeeper;
};

/** An entry that follows the orders stream and competes for its claim. */
export function makePlanner(
  options: TestProcessOptions & { fold?: OrdersFoldOptions },
): TestPlanner {
  const testJournal = makeJournal(new OrdersFold(options.fold), {
    ...options,
    stream: ORDERS,
    journal: { onApplied: () => keeper.changed(), ...options.journal },
  });
  const keeper = makeKeeper(testJournal, { timer: options.timer });
  testJournal.journal.start();
  keeper.start();
  return { ...testJournal, keeper };
}

function makeKeeper(
  testJournal: TestJournal<ConfigurationFold | OrdersFold>,
  options: { timer: TimerService; onGained?: (claim: Claim) => void },
): ClaimKeeper {
  return new ClaimKeeper({
    journal: testJournal.journal,
    view: testJournal.fold,
    timer: options.timer,
    random: seededRandom(seedOf(testJournal.incarnation)),
    process: testJournal.process,
    incarnation: testJournal.incarnation,
    claimSilenceMilliseconds: CLAIM_SILENCE_MILLISECONDS,
    onGained: options.onGained,
  });
}

/** A small valid configuration. */
export function sampleConfiguration(weights = "v1"): ConfigurationContent {
  return {
    inventory: {
      region: "klang-valley",
      availabilityZones: ["shah-alam", "petaling"],
      pools: [{
        name: "triage-llm",
        kind: "engine",
        models: ["triage"],
        weights,
        engine: {
          slots: 8,
          prefillTokensPerSecond: 8_000,
          millisecondsBetweenTokens: 25,
          keyValueCacheTokens: 100_000,
          roleChangeSeconds: 5,
        },
        endpoints: [{
          id: "triage-1",
          availabilityZone: "shah-alam",
          side: "10.0.0.1:7000",
        }],
      }],
    },
    rules: {
      classes: [{ name: "urgent", priority: 0, deadlineSeconds: 5 }],
      defaultClass: "urgent",
    },
  };
}

/** Hashes the name, so that similar names yield unrelated random sequences. */
function seedOf(name: string): number {
  return hashToUnit(name) * 2 ** 32 | 0;
}
