import { expect } from "chai";
import fc from "fast-check";
import {
  makeJournal,
  ORDERS,
  type TestJournal,
} from "../../../test/support/coordination.ts";
import { FakeLog, noFaults } from "../../../test/support/fake_log.ts";
import { ClaimHoldersFold } from "../../../test/support/claim_holders_fold.ts";
import type { StreamSnapshot } from "../links/mod.ts";
import { ManualTimerService } from "../time/mod.ts";
import type { JournalGuards } from "./mod.ts";

const PROCESSES = 4;

const step = fc.record({
  process: fc.nat(PROCESSES - 1),
  wait: fc.integer({ min: 0, max: 4_000 }),
  kind: fc.constantFrom(
    "append",
    "append",
    "append",
    "burst",
    "lostAnswers",
    "lostRequests",
    "lateAppends",
    "lag",
    "slow",
    "down",
    "silent",
    "heal",
    "expire",
    "restart",
  ),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

/** Four processes on one stream, driven by a list of steps. */
class Fleet {
  readonly timer = new ManualTimerService();
  readonly log = new FakeLog({ timer: this.timer });
  readonly outcomes = new Map<string, string>();
  readonly runs: number[] = Array(PROCESSES).fill(0);
  readonly guards: Partial<JournalGuards>;
  readonly parts: TestJournal<ClaimHoldersFold>[];
  #appended = 0;

  constructor(guards: Partial<JournalGuards>) {
    this.guards = guards;
    this.parts = Array.from(
      { length: PROCESSES },
      (_, index) => this.start(index),
    );
  }

  start(index: number): TestJournal<ClaimHoldersFold> {
    const parts = makeJournal(new ClaimHoldersFold(), {
      log: this.log,
      timer: this.timer,
      name: `process-${index}`,
      run: this.runs[index]++,
      stream: ORDERS,
      journal: {
        checkpointRecords: 6,
        guards: this.guards,
        peers: () => Promise.resolve(this.highestSnapshot(index)),
      },
    });
    parts.journal.start();
    return parts;
  }

  highestSnapshot(asking: number): StreamSnapshot {
    return this.parts.filter((_, index) => index !== asking)
      .map((other) => other.journal.snapshot())
      .reduce((best, next) => next.upTo > best.upTo ? next : best);
  }

  append(index: number): void {
    const marker = `record-${this.#appended++}`;
    const body = { kind: "claim", holder: marker, replaces: -1 } as const;
    this.outcomes.set(marker, "open");
    void this.parts[index].journal.append(body).then((result) => {
      this.outcomes.set(marker, result.isOk() ? "made" : result.error.name);
    });
  }

  async applyStep({ kind, process, wait }: Step): Promise<void> {
    const { faults, journal } = this.parts[process];
    if (kind === "append") this.append(process);
    else if (kind === "burst") {
      for (let count = 0; count < 5; count += 1) this.append(process);
    } else if (kind === "lag") faults.lagRecords = 3;
    else if (kind === "slow") faults.addedLatencyMilliseconds = 2_500;
    else if (kind === "down" || kind === "silent") faults[kind] = true;
    else if (kind === "heal") Object.assign(faults, noFaults());
    else if (kind === "expire") this.expire();
    else if (kind === "restart") {
      journal.stop();
      this.parts[process] = this.start(process);
    } else {
      faults[kind] += 1;
      faults.lateMilliseconds = 2 * wait;
    }
    await this.timer.advance(wait);
  }

  /**
   * Expires as much of the log as possible while one reader still has the
   * state.
   */
  expire(): void {
    const position = Math.max(
      ...this.parts.map(({ journal }) => journal.position),
    );
    this.log.expire(ORDERS, position - 3);
  }

  async heal(): Promise<void> {
    for (const { faults } of this.parts) Object.assign(faults, noFaults());
    await this.timer.advance(120_000);
  }
}

function expectPrefixes(lists: readonly (readonly string[])[]): void {
  const longest = lists.reduce((one, other) =>
    other.length > one.length ? other : one
  );
  for (const list of lists) {
    expect(list).to.deep.equal(longest.slice(0, list.length));
  }
}

describe("Journals of several processes under any faults", () => {
  // Answers get lost, appends complete late or twice, replicas are behind,
  // records expire, processes restart. In any order of these, the states of two
  // processes may differ only by how far they have read, append results must be
  // correct, and no record may count twice.
  it("agree on one history and report correct append results", async () => {
    const found = await searchSchedules({});
    expect(found.counterexample).to.equal(null);
  });

  // The search must fail when a guard is disabled, or it proves nothing.
  const guards: readonly (keyof JournalGuards)[] = [
    "dropsRepeats",
    "closesGaps",
  ];
  for (const guard of guards) {
    it(`diverge in some schedule without ${guard}`, async () => {
      const found = await searchSchedules({ [guard]: false });
      expect(found.failed).to.equal(true);
    });
  }
});

function searchSchedules(guards: Partial<JournalGuards>) {
  return fc.check(
    fc.asyncProperty(
      fc.array(step, { maxLength: 25 }),
      (steps) => runSchedule(new Fleet(guards), steps),
    ),
    { numRuns: 300, seed: 4 },
  );
}

async function runSchedule(
  fleet: Fleet,
  steps: readonly Step[],
): Promise<void> {
  let positions = fleet.parts.map(() => -1);
  for (const next of steps) {
    await fleet.applyStep(next);
    expectPrefixes(fleet.parts.map(({ fold }) => fold.taken));
    const now = fleet.parts.map(({ journal }) => journal.position);
    if (next.kind === "restart") positions[next.process] = -1;
    now.forEach((position, index) => {
      expect(position).to.be.at.least(positions[index]);
    });
    positions = now;
  }
  await fleet.heal();
  expectOneHistory(fleet);
  expectCorrectOutcomes(fleet);
}

function expectOneHistory({ parts }: Fleet): void {
  const [{ fold, journal }] = parts;
  for (const other of parts) {
    expect(other.journal.position).to.equal(journal.position);
    expect(other.journal.snapshot()).to.deep.equal(journal.snapshot());
  }
  expect(new Set(fold.taken).size).to.equal(fold.taken.length);
}

function expectCorrectOutcomes({ outcomes, parts }: Fleet): void {
  const [{ fold }] = parts;
  for (const [marker, outcome] of outcomes) {
    expect(outcome).to.not.equal("open");
    const isOnLog = fold.taken.includes(marker);
    if (outcome === "made") expect(isOnLog, marker).to.equal(true);
    if (outcome === "append_not_made") expect(isOnLog, marker).to.equal(false);
  }
}
