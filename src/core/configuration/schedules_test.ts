import { expect } from "chai";
import fc from "fast-check";
import {
  CONFIGURATION,
  makeJournal,
  makeJudge,
  sampleConfiguration,
  type TestJudge,
} from "../../../test/support/coordination.ts";
import {
  FakeLog,
  type LogFaults,
  noFaults,
} from "../../../test/support/fake_log.ts";
import { ManualTimerService } from "../time/mod.ts";
import { ConfigurationFold, Publisher } from "./mod.ts";

const ENTRIES = 3;
const OPERATORS = 2;

const step = fc.record({
  wait: fc.integer({ min: 0, max: 6_000 }),
  target: fc.nat(ENTRIES + OPERATORS - 1),
  kind: fc.constantFrom(
    "publish",
    "race",
    "race",
    "publishAgain",
    "publishAndCut",
    "lostAnswers",
    "lostRequests",
    "lateAppends",
    "lag",
    "slow",
    "down",
    "heal",
    "restart",
    "handOver",
  ),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

interface PublicationAttempt {
  readonly publicationId: string;
  outcome: string;
}

/**
 * Entries that take turns as validator, and operators with concurrent
 * publications.
 */
class Fleet {
  readonly timer = new ManualTimerService();
  readonly log = new FakeLog({ timer: this.timer });
  readonly attempts: PublicationAttempt[] = [];
  readonly entries: TestJudge[] = [];
  readonly operators: { publisher: Publisher; faults: LogFaults }[] = [];
  /** Highest version of each entry's index, across restarts. */
  readonly versions: number[] = Array(ENTRIES).fill(0);
  #runs = 0;

  constructor() {
    for (let index = 0; index < ENTRIES; index += 1) this.startEntry(index);
    for (let index = 0; index < OPERATORS; index += 1) this.startOperator();
  }

  startEntry(index: number): void {
    this.entries[index] = makeJudge({
      log: this.log,
      timer: this.timer,
      name: `entry-${index}`,
      run: this.#runs++,
      journal: {
        peers: () =>
          Promise.resolve(
            this.entries.filter((_, other) => other !== index)
              .map((other) => other.journal.snapshot())
              .reduce((best, next) => next.upTo > best.upTo ? next : best),
          ),
      },
    });
  }

  startOperator(): void {
    const fold = new ConfigurationFold();
    const { faults, journal } = makeJournal(fold, {
      log: this.log,
      timer: this.timer,
      name: `operator-${this.operators.length}`,
      stream: CONFIGURATION,
      journal: { writesCheckpoints: false },
    });
    journal.start();
    const publisher = new Publisher({
      journal,
      fold,
      timer: this.timer,
      verdictMilliseconds: 8_000,
    });
    this.operators.push({ publisher, faults });
  }

  publish(operator: number, publicationId: string): void {
    const attempt = { publicationId, outcome: "open" };
    this.attempts.push(attempt);
    const base = this.entries[0].fold.version;
    void this.operators[operator].publisher.publish(
      sampleConfiguration(publicationId),
      { publicationId, base },
    ).then((result) => {
      attempt.outcome = result.isOk() ? "accepted" : result.error.name;
    });
  }

  /** The append is delayed, and then the log becomes unreachable. */
  async publishAndDisconnect(operator: number, late: number): Promise<void> {
    const { faults } = this.operators[operator];
    faults.lateAppends = 1;
    faults.lateMilliseconds = late;
    this.publish(operator, `change-${this.attempts.length}`);
    await this.timer.advance(100);
    faults.down = true;
  }

  faultsOf(target: number): LogFaults {
    return target < ENTRIES
      ? this.entries[target].faults
      : this.operators[target - ENTRIES].faults;
  }

  async applyStep({ kind, target, wait }: Step): Promise<void> {
    const faults = this.faultsOf(target);
    const entry = target % ENTRIES;
    const operator = target % OPERATORS;
    if (kind === "publish") {
      this.publish(operator, `change-${this.attempts.length}`);
    } else if (kind === "race") {
      for (let index = 0; index < OPERATORS; index += 1) {
        this.publish(index, `change-${this.attempts.length}`);
      }
    } else if (kind === "publishAndCut") {
      await this.publishAndDisconnect(operator, 2 * wait);
    } else if (kind === "publishAgain") {
      const last = this.attempts.at(-1)?.publicationId;
      if (last !== undefined) this.publish(operator, last);
    } else if (kind === "lag") faults.lagRecords = 3;
    else if (kind === "slow") faults.addedLatencyMilliseconds = 1_500;
    else if (kind === "down") faults.down = true;
    else if (kind === "heal") Object.assign(faults, noFaults());
    else if (kind === "handOver") void this.entries[entry].keeper.stop();
    else if (kind === "restart") {
      this.entries[entry].journal.stop();
      this.startEntry(entry);
    } else {
      faults[kind] += 1;
      faults.lateMilliseconds = 2 * wait;
    }
    await this.timer.advance(wait);
  }

  async heal(): Promise<void> {
    for (let index = 0; index < ENTRIES; index += 1) {
      Object.assign(this.faultsOf(index), noFaults());
      // An entry that released its claim is about to be replaced.
      this.entries[index].journal.stop();
      this.startEntry(index);
      await this.timer.advance(5_000);
    }
    for (const { faults } of this.operators) Object.assign(faults, noFaults());
    await this.timer.advance(60_000);
  }
}

async function runSchedule(steps: readonly Step[]): Promise<void> {
  const fleet = new Fleet();
  await fleet.timer.advance(4_000);
  for (const next of steps) {
    await fleet.applyStep(next);
    fleet.entries.forEach(({ fold }, index) => {
      const isFresh = next.kind === "restart" &&
        next.target % ENTRIES === index;
      if (!isFresh) expect(fold.version).to.be.at.least(fleet.versions[index]);
      fleet.versions[index] = fold.version;
    });
  }
  await fleet.heal();
  const [{ fold }] = fleet.entries;
  for (const other of fleet.entries) {
    expect(other.fold.save()).to.deep.equal(fold.save());
  }
  expect(fold.pending).to.deep.equal([]);
  expectCorrectOutcomes(fleet.attempts, fold);
}

function expectCorrectOutcomes(
  attempts: readonly PublicationAttempt[],
  fold: ConfigurationFold,
): void {
  for (const { outcome, publicationId } of attempts) {
    const history = fold.outcome(publicationId);
    if (outcome === "accepted") expect(history?.accepted).to.equal(true);
    if (outcome === "publication_rejected") {
      expect(history?.accepted).to.not.equal(true);
    }
    const again = attempts.filter((other) =>
      other.publicationId === publicationId
    );
    if (outcome === "publication_not_made" && again.length === 1) {
      expect(history).to.equal(undefined);
    }
  }
}

describe("Publishing under any faults", () => {
  // Operators publish concurrently, answers get lost, appends complete late,
  // validators restart, release their claim or are cut off during a verdict. No
  // entry may return to an older version, all must end with the same one, every
  // publication must get its verdict, and the results returned to operators
  // must be correct.
  it("never reverts and returns correct results to operators", async () => {
    const found = await fc.check(
      fc.asyncProperty(
        fc.array(step, { minLength: 6, maxLength: 20 }),
        runSchedule,
      ),
      { numRuns: 150, seed: 9 },
    );
    expect(found.counterexample, String(found.errorInstance)).to.equal(null);
  });
});
