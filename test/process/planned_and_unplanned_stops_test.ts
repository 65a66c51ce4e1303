import { join } from "node:path";
import process from "node:process";
import { expect } from "chai";
import { countRuns } from "../stand_ins/plain_service.ts";
import { builtBinary } from "../support/built_binary.ts";
import {
  completeAnswer,
  promptFor,
  streamChat,
} from "../support/chat_caller.ts";
import { waitFor } from "../support/process_fleet.ts";
import { SmallDeployment } from "../support/small_deployment.ts";
import { uuidv7 } from "../support/uuid.ts";

const TOKENS = 150;

describe("Stops of processes while callers wait", function () {
  this.timeout(60_000);
  let deployment: SmallDeployment;

  beforeEach(async () => {
    process.env.FILBERTSHORE_BINARY = builtBinary();
    deployment = new SmallDeployment();
    await deployment.start({
      engines: 3,
      services: 2,
      engine: { millisecondsBetweenTokens: 10, roleChangeMilliseconds: 300 },
    });
  });

  afterEach(async () => {
    delete process.env.FILBERTSHORE_BINARY;
    await deployment.close();
  });

  /** Starts streams; `underWay` resolves when each has at least 20 tokens. */
  function startStreams(count: number, entryUrl: string) {
    const prompts = Array.from(
      { length: count },
      (_, index) => promptFor(`report ${index}`, TOKENS),
    );
    const tokensOf = new Array<number>(count).fill(0);
    const answers = Promise.all(
      prompts.map((prompt, index) =>
        streamChat(entryUrl, {
          prompt,
          onToken: (tokens) => tokensOf[index] = tokens,
        })
      ),
    );
    // A stream that ends early carries the cause; a timeout of `waitFor` would
    // hide it.
    let settledResult: unknown;
    void answers.then(
      (all) => settledResult = all,
      (cause) => settledResult = String(cause),
    );
    const underWay = waitFor(() => {
      const ready = tokensOf.every((tokens) => tokens >= 20);
      if (!ready && settledResult !== undefined) {
        throw new Error(
          `Streams ended early: ${JSON.stringify(settledResult)}`,
        );
      }
      return ready;
    }, {
      what: "the streams to be under way",
      found: () => ({ tokensOf, log: deployment.entries[0].process.output() }),
    });
    return { prompts, answers, underWay };
  }

  async function expectComplete(streams: ReturnType<typeof startStreams>) {
    const answers = await streams.answers;
    answers.forEach((answer, index) => {
      expect(answer.problem).to.equal(undefined);
      expect(answer.ended).to.equal(true);
      expect(answer.tokens).to.deep.equal(
        completeAnswer(streams.prompts[index]).tokens,
      );
    });
  }

  // The platform replaces an entry VM. Without a drain, all its streams would
  // break off in the middle of an answer.
  it("an entry that receives SIGTERM finishes its streams first", async () => {
    const [entry] = deployment.entries;
    const streams = startStreams(6, entry.url);
    await streams.underWay;
    entry.process.child.kill("SIGTERM");
    await waitFor(async () => {
      const health = await fetch(`${entry.url}/health`)
        .then((answer) => answer.status, () => 0);
      return health !== 200;
    }, { what: "the health check to show that the entry drains" });
    await expectComplete(streams);
    expect(await entry.process.exited).to.equal(0);
  });

  // The platform replaces an endpoint VM. Its side must finish or hand over its
  // running streams and accept no new ones.
  it("a side that receives SIGTERM cuts no stream", async () => {
    const streams = startStreams(9, deployment.entries[0].url);
    await streams.underWay;
    const [engine] = deployment.engines;
    engine.side.child.kill("SIGTERM");
    await expectComplete(streams);
    expect(await engine.side.exited).to.equal(0);
  });

  // A side's process is killed in the middle of answers. The entry resumes them
  // at another engine after the tokens that were already delivered.
  it("a killed side loses no token and repeats none", async () => {
    const streams = startStreams(9, deployment.entries[0].url);
    await streams.underWay;
    deployment.engines[0].side.child.kill("SIGKILL");
    await expectComplete(streams);
  });

  // An engine crashes in the middle of answers while its side keeps running.
  it("a crashed engine loses no token and repeats none", async () => {
    const streams = startStreams(9, deployment.entries[0].url);
    await streams.underWay;
    deployment.engines[1].endpoint.child.kill("SIGKILL");
    await expectComplete(streams);
  });

  // The platform replaces all VMs one at a time under load. Each new side must
  // get work again; otherwise no endpoint is left after the last replacement.
  it("sides are replaced one at a time under load", async () => {
    let finished = false;
    const callers = deployment.entries.flatMap(({ url }) =>
      [1, 2, 3].map(async (caller) => {
        const incomplete: unknown[] = [];
        for (let count = 0; !finished; count++) {
          const prompt = promptFor(`${url} ${caller} ${count}`, 40);
          const answer = await streamChat(url, { prompt });
          const { tokens } = completeAnswer(prompt);
          const isComplete = answer.problem === undefined &&
            answer.tokens.join("") === tokens.join("");
          if (!isComplete) incomplete.push({ url, prompt, ...answer });
        }
        return incomplete;
      })
    );
    // Failures of callers are checked after the replacements: an immediate
    // rejection would end the test while they still run.
    const callerResults = Promise.allSettled(callers);
    for (const { id, side } of deployment.engines) {
      await sleep(600);
      side.child.kill("SIGKILL");
      await side.exited;
      await sleep(300);
      deployment.fleet.startProgram([
        "side",
        "--settings",
        join(deployment.fleet.folder, `${id}.toml`),
      ]);
      await sleep(1_500);
    }
    finished = true;
    for (const caller of await callerResults) {
      expect(caller).to.deep.equal({ status: "fulfilled", value: [] });
    }
    const before = await generations();
    // Traffic returns gradually to an endpoint that has failed.
    await waitFor(async () => {
      await expectComplete(startStreams(24, deployment.entries[0].url));
      const after = await generations();
      return after.every((count, index) => count > before[index]);
    }, { what: "every replaced side to get work" });
  });

  function generations(): Promise<number[]> {
    return Promise.all(deployment.engines.map(async ({ url }) => {
      const answer = await fetch(`${url}/control`);
      const { counts } = await answer.json() as {
        counts: { generations: number };
      };
      return counts.generations;
    }));
  }

  // The side of the portal is killed after it has sent the booking. Whether the
  // booking took effect is unknown, and the outcome "not run" would make the
  // caller book a second time.
  it("a killed side never makes a booking run twice", async () => {
    await Promise.all(
      deployment.services.map(({ url }) =>
        control(url, { delayMilliseconds: 1_500 })
      ),
    );
    const key = uuidv7();
    const [one, other] = deployment.entries;
    const first = book(one.url, key);
    let running: string | undefined;
    await waitFor(async () => {
      for (const service of deployment.services) {
        if ((await runsOf(service.url, key)) > 0) running = service.id;
      }
      return running !== undefined;
    }, { what: "the booking to run" });
    deployment.services.find(({ id }) => id === running)?.side.child
      .kill("SIGKILL");
    expect((await first).outcome).to.equal("unknown");
    const repeat = await book(other.url, key);
    expect(repeat.outcome).to.equal("unknown");
    const runs = await Promise.all(
      deployment.services.map(({ url }) => runsOf(url, key)),
    );
    expect(runs.reduce((sum, each) => sum + each, 0)).to.equal(1);
  });
});

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

async function book(
  url: string,
  key: string,
): Promise<{ status: number; outcome?: string }> {
  const answer = await fetch(`${url}/cases`, {
    method: "POST",
    headers: { "idempotency-key": key, "x-deadline-milliseconds": "4000" },
    body: "Klang",
    signal: AbortSignal.timeout(20_000),
  });
  const { outcome } = await answer.json() as { outcome?: string };
  return { status: answer.status, outcome };
}

async function control(url: string, change: unknown): Promise<void> {
  await fetch(`${url}/control`, {
    method: "POST",
    body: JSON.stringify(change),
  });
}

async function runsOf(url: string, key: string): Promise<number> {
  const answer = await fetch(`${url}/control`);
  const { runs } = await answer.json() as { runs: Record<string, number> };
  return countRuns(runs, key);
}
