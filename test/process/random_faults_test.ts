import { join } from "node:path";
import process from "node:process";
import { expect } from "chai";
import { type Random, seededRandom } from "../../src/core/random/mod.ts";
import { countRuns } from "../stand_ins/plain_service.ts";
import { builtBinary } from "../support/built_binary.ts";
import {
  completeAnswer,
  promptFor,
  streamChat,
} from "../support/chat_caller.ts";
import { type StartedProcess, waitFor } from "../support/process_fleet.ts";
import { SmallDeployment } from "../support/small_deployment.ts";
import { uuidv7 } from "../support/uuid.ts";

const SEED = 20261202;
const RUN_MILLISECONDS = 12_000;
/** Time without new faults at the end, in which all open faults end. */
const FAULT_FREE_MILLISECONDS = 3_500;
/** Limit of concurrently unavailable sides, of seven. */
const MAX_UNAVAILABLE = 2;

interface Booking {
  readonly key: string;
  readonly outcome: "answered" | "not_run" | "unknown";
}

describe("Random faults under load", function () {
  this.timeout(90_000);
  const deployment = new SmallDeployment();
  const sides = new Map<string, StartedProcess>();
  const unavailable = new Set<string>();
  const random = seededRandom(SEED);

  before(async () => {
    process.env.FILBERTSHORE_BINARY = builtBinary();
    await deployment.start({
      engines: 4,
      services: 3,
      engine: { millisecondsBetweenTokens: 10 },
    });
    for (
      const { id, side } of [...deployment.engines, ...deployment.services]
    ) {
      sides.set(id, side);
    }
  });

  after(async () => {
    delete process.env.FILBERTSHORE_BINARY;
    await deployment.close();
  });

  // Sides are killed, stopped and suspended, engines break streams off, and the
  // log is down, slow or loses responses, several of these concurrently.
  // Callers may be refused or get an unknown outcome, but every reported
  // outcome must match what ran.
  it("truncates no answer, runs nothing twice and reports true outcomes", async () => {
    const end = performance.now() + RUN_MILLISECONDS;
    const bookings: Booking[] = [];
    const [streams] = await Promise.all([
      Promise.all(range(8).map((caller) => streamUntil(end, caller))),
      Promise.all(range(6).map(() => bookUntil(end, bookings))),
      injectFaults(end - FAULT_FREE_MILLISECONDS),
    ]);
    expect(streams.flat()).to.include(true);
    const runs = await allRuns();
    for (const { key, outcome } of bookings) {
      const count = countRuns(runs, key);
      if (outcome === "answered") expect(count, key).to.equal(1);
      if (outcome === "not_run") expect(count, key).to.equal(0);
      expect(count, key).to.be.at.most(1);
    }
    for (const { process: entry } of deployment.entries) {
      expect(entry.child.exitCode, entry.output()).to.equal(null);
    }
    const last = promptFor("afterwards", 40);
    const answer = await streamChat(deployment.entries[0].url, {
      prompt: last,
    });
    expect(answer.tokens).to.deep.equal(completeAnswer(last).tokens);
  });

  /**
   * Whether each stream was complete; an incomplete one must be a correct
   * prefix.
   */
  async function streamUntil(end: number, caller: number): Promise<boolean[]> {
    const complete: boolean[] = [];
    for (let count = 0; performance.now() < end; count++) {
      const prompt = promptFor(`caller ${caller} asks ${count}`, 60);
      const entry = pick(deployment.entries, random);
      const answer = await streamChat(entry.url, { prompt });
      const { tokens } = completeAnswer(prompt);
      expect(answer.tokens).to.deep.equal(
        tokens.slice(0, answer.tokens.length),
      );
      if (answer.ended) expect(answer.tokens).to.deep.equal(tokens);
      else expect(answer.problem).to.not.equal(undefined);
      complete.push(answer.ended);
      await sleep(20);
    }
    return complete;
  }

  async function bookUntil(end: number, bookings: Booking[]): Promise<void> {
    while (performance.now() < end) {
      const key = uuidv7();
      const first = await book(key);
      bookings.push({ key, outcome: first });
      // Repeats the key after an answer and after an unknown outcome.
      if (first !== "not_run") await book(key);
      await sleep(20);
    }
  }

  async function book(key: string): Promise<Booking["outcome"]> {
    const { url } = pick(deployment.entries, random);
    const response = await fetch(`${url}/cases`, {
      method: "POST",
      headers: { "idempotency-key": key, "x-deadline-milliseconds": "3000" },
      body: "Klang",
    });
    const answer = await response.json() as { outcome?: Booking["outcome"] };
    return answer.outcome ?? "answered";
  }

  async function injectFaults(end: number): Promise<void> {
    const faults = [
      killSide,
      stopSide,
      suspendSide,
      injectEngineFault,
      injectLogFault,
    ];
    const pending: Promise<void>[] = [];
    while (performance.now() < end) {
      pending.push(pick(faults, random)());
      await sleep(200 + 400 * random());
    }
    await Promise.all(pending);
  }

  function killSide(): Promise<void> {
    return whileUnavailable(async (id, side) => {
      side.child.kill("SIGKILL");
      await sleep(500);
      restartSide(id);
    });
  }

  function stopSide(): Promise<void> {
    return whileUnavailable(async (id, side) => {
      side.child.kill("SIGTERM");
      expect(await side.exited).to.equal(0);
      restartSide(id);
    });
  }

  function suspendSide(): Promise<void> {
    return whileUnavailable(async (_, side) => {
      side.child.kill("SIGSTOP");
      await sleep(1_500);
      side.child.kill("SIGCONT");
    });
  }

  async function whileUnavailable(
    action: (id: string, side: StartedProcess) => Promise<void>,
  ): Promise<void> {
    const id = pick([...sides.keys()], random);
    if (unavailable.has(id) || unavailable.size >= MAX_UNAVAILABLE) return;
    unavailable.add(id);
    await action(id, sides.get(id) as StartedProcess);
    await sleep(600);
    await waitUntilListening(id);
    unavailable.delete(id);
  }

  /**
   * On a busy machine a side takes longer to start. SIGTERM would end it before
   * its handler is installed, which is no graceful shutdown.
   */
  function waitUntilListening(id: string): Promise<void> {
    const output = () => sides.get(id)?.output() ?? "";
    return waitFor(() => output().includes("Side is listening"), {
      what: `${id} to listen`,
      found: output,
    });
  }

  function restartSide(id: string): void {
    const file = join(deployment.fleet.folder, `${id}.toml`);
    sides.set(id, deployment.fleet.startProgram(["side", "--settings", file]));
  }

  async function injectEngineFault(): Promise<void> {
    const fault = pick(
      [{ closeAfterTokens: 7 }, { garbageAfterTokens: 7 }],
      random,
    );
    await control(pick(deployment.engines, random).url, fault);
  }

  async function injectLogFault(): Promise<void> {
    const fault = pick(
      [{ down: "refuse" }, { delayMilliseconds: 200 }, { lostAnswers: 2 }],
      random,
    );
    await control(deployment.logUrl, fault);
    await sleep(700);
    await control(deployment.logUrl, { down: "no", delayMilliseconds: 0 });
  }

  async function allRuns(): Promise<Record<string, number>> {
    const all: Record<string, number> = {};
    for (const { url } of deployment.services) {
      const answer = await fetch(`${url}/control`);
      const { runs } = await answer.json() as { runs: Record<string, number> };
      for (const [key, count] of Object.entries(runs)) {
        all[key] = (all[key] ?? 0) + count;
      }
    }
    return all;
  }
});

async function control(url: string, change: unknown): Promise<void> {
  await fetch(`${url}/control`, {
    method: "POST",
    body: JSON.stringify(change),
  });
}

function pick<Value>(values: readonly Value[], random: Random): Value {
  return values[Math.floor(random() * values.length)];
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function range(length: number): number[] {
  return Array.from({ length }, (_, index) => index);
}
