import { expect } from "chai";
import { waitFor } from "../support/process_fleet.ts";
import {
  type DeployedEntry,
  SmallDeployment,
} from "../support/small_deployment.ts";
import { uuidv7 } from "../support/uuid.ts";

/** Time within which an accepted configuration is in force at all processes. */
const IN_FORCE_MILLISECONDS = 9_000;

interface Status {
  readonly configurationVersion: number;
  readonly sides: readonly {
    readonly endpoint: string;
    readonly state: string;
    readonly configurationVersion: number;
  }[];
}

interface Answer {
  readonly status: number;
  readonly body: string;
}

describe("Faults of the platform and of VMs, as processes", () => {
  let deployment: SmallDeployment;

  beforeEach(async function () {
    this.timeout(60_000);
    deployment = new SmallDeployment();
    await deployment.start({ engines: 2, services: 2 });
  });

  afterEach(async function () {
    if (this.currentTest?.state === "failed") {
      const endpoints = [...deployment.engines, ...deployment.services];
      const processes = [
        ...deployment.entries.map((each) => each.process),
        ...endpoints.map((each) => each.side),
      ];
      for (const each of processes) console.log(each.output().slice(-2_000));
      for (const entry of deployment.entries) {
        console.log(JSON.stringify(await status(entry).catch(String)));
      }
    }
    await deployment.close();
  });

  async function status(entry: DeployedEntry): Promise<Status> {
    const answer = await fetch(`http://${entry.peers}/rpc`, {
      method: "POST",
      body: JSON.stringify({ jsonrpc: "2.0", id: 1, method: "entry.status" }),
    });
    return (await answer.json() as { result: Status }).result;
  }

  async function book(
    entry: DeployedEntry,
    key: string | undefined,
  ): Promise<Answer> {
    const answer = await fetch(`${entry.url}/cases`, {
      method: "POST",
      headers: key === undefined ? {} : { "idempotency-key": key },
      body: "Klang",
    });
    return { status: answer.status, body: await answer.text() };
  }

  async function runsOf(key: string): Promise<number> {
    const counts = await Promise.all(
      deployment.services.map(async ({ url }) => {
        const answer = await fetch(`${url}/control`, {
          method: "POST",
          body: "{}",
        });
        const { runs } = await answer.json() as {
          runs: Record<string, number>;
        };
        const own = Object.keys(runs).filter((each) => each.endsWith(key));
        return own.reduce((sum, each) => sum + runs[each], 0);
      }),
    );
    return counts.reduce((sum, count) => sum + count, 0);
  }

  async function setLogFaults(faults: Record<string, unknown>): Promise<void> {
    await fetch(`${deployment.logUrl}/control`, {
      method: "POST",
      body: JSON.stringify(faults),
    });
  }

  /** Whether every entry and every side has a version above the given one. */
  async function inForceAbove(
    version: number,
    entries: readonly DeployedEntry[],
  ): Promise<boolean> {
    for (const entry of entries) {
      const { configurationVersion, sides } = await status(entry);
      if (configurationVersion <= version) return false;
      if (sides.some((side) => side.configurationVersion <= version)) {
        return false;
      }
    }
    return true;
  }

  // During an outage of the log service, a booking must not be sent because its
  // key can't be recorded. Generations don't need the log and continue.
  it("an outage of the log refuses bookings as not run and nothing else", async () => {
    await setLogFaults({ down: "refuse" });
    const key = uuidv7();
    const booking = await book(deployment.entries[0], key);
    expect(booking.status).to.equal(503);
    expect(JSON.parse(booking.body)).to.include({ outcome: "not_run" });
    const chat = await fetch(
      `${deployment.entries[0].url}/v1/chat/completions`,
      {
        method: "POST",
        body: JSON.stringify({
          model: "triage-llm",
          messages: [{ role: "user", content: "Lorry at the river" }],
        }),
      },
    );
    expect(chat.status, await chat.text()).to.equal(200);
    await setLogFaults({ down: "no" });
    let last: Answer | undefined;
    await waitFor(
      async () => {
        last = await book(deployment.entries[0], key);
        return last.status < 300;
      },
      { what: "a booking to succeed after the outage", found: () => last },
    );
    expect(await runsOf(key)).to.equal(1);
  });

  // The log appends the record and its response is lost. A second append would
  // book twice, and giving up would not book at all.
  it("a lost response of the log leads to one booking", async () => {
    await setLogFaults({ lostAnswers: 1 });
    const key = uuidv7();
    const booking = await book(deployment.entries[0], key);
    expect(booking.status).to.equal(201);
    expect(await runsOf(key)).to.equal(1);
  });

  // The entry that judges publications is killed without releasing its claim
  // while an operator publishes.
  it("a publication comes into force after its judge was killed", async function () {
    this.timeout(30_000);
    const judge = judgeOf(deployment);
    const others = deployment.entries.filter((entry) => entry !== judge);
    const before = await status(others[0]);
    judge.process.child.kill("SIGKILL");
    const published = performance.now();
    await deployment.publishRaw(
      deployment.content({ [deployment.engines[0].id]: "draining" }),
      before.configurationVersion,
    );
    await waitFor(() => inForceAbove(before.configurationVersion, others), {
      what: "the publication to be in force",
      milliseconds: IN_FORCE_MILLISECONDS,
    });
    expect(performance.now() - published).to.be.below(IN_FORCE_MILLISECONDS);
  });

  // The entry that judges is suspended beyond every timeout, another takes the
  // claim over, and a publication comes into force. The resumed entry still
  // assumes that it holds the claim: its writes must have no effect, and it
  // must converge to the configuration of the others.
  it("an entry that resumes after a long suspension changes nothing", async function () {
    this.timeout(60_000);
    const judge = judgeOf(deployment);
    const [other] = deployment.entries.filter((entry) => entry !== judge);
    const before = (await status(other)).configurationVersion;
    judge.process.child.kill("SIGSTOP");
    await deployment.publishRaw(
      deployment.content({ [deployment.engines[0].id]: "draining" }),
      before,
    );
    await waitFor(
      async () => (await status(other)).configurationVersion > before,
      { what: "the publication to be in force without the judge" },
    );
    const after = (await status(other)).configurationVersion;
    judge.process.child.kill("SIGCONT");
    await waitFor(
      async () => (await status(judge)).configurationVersion === after,
      { what: "the resumed entry to catch up" },
    );
    await new Promise((resolve) => setTimeout(resolve, 2_000));
    expect((await status(other)).configurationVersion).to.equal(after);
    expect((await status(judge)).configurationVersion).to.equal(after);
  });

  // Two operators publish on the same base version. If both were accepted, the
  // second would silently undo the first.
  it("of two concurrent publications exactly one comes into force", async () => {
    const [entry] = deployment.entries;
    const before = (await status(entry)).configurationVersion;
    const [one, other] = deployment.engines.map((each) => each.id);
    await Promise.all([
      deployment.publishRaw(deployment.content({ [one]: "draining" }), before),
      deployment.publishRaw(
        deployment.content({ [other]: "draining" }),
        before,
      ),
    ]);
    await waitFor(() => inForceAbove(before, deployment.entries), {
      what: "one of the publications to be in force",
    });
    const { sides } = await status(entry);
    const draining = sides.filter((side) => side.state === "draining");
    expect(draining).to.have.length(1);
  });

  // A draining endpoint finishes its open work. Bookings sent to it afterwards
  // would be lost when it shuts down.
  it("a draining endpoint gets no new work once the drain is in force", async () => {
    const [leaving] = deployment.services;
    const { configurationVersion } = await status(deployment.entries[0]);
    await deployment.publishRaw(
      deployment.content({ [leaving.id]: "draining" }),
      configurationVersion,
    );
    await waitFor(
      () => inForceAbove(configurationVersion, deployment.entries),
      { what: "the drain to be in force" },
    );
    for (let index = 0; index < 10; index++) {
      const entry = deployment.entries[index % deployment.entries.length];
      const booking = await book(entry, uuidv7());
      expect(booking.status, booking.body).to.equal(201);
      expect(booking.body).not.to.include(leaving.id);
    }
  });

  // The entry is killed between sending a booking and answering. The caller
  // repeats the key through another entry and must get the same booking.
  it("a booking whose entry was killed is made once", async function () {
    this.timeout(30_000);
    const [first, second] = deployment.entries;
    for (const { url } of deployment.services) {
      await fetch(`${url}/control`, {
        method: "POST",
        body: JSON.stringify({ delayMilliseconds: 600 }),
      });
    }
    const key = uuidv7();
    const interrupted = book(first, key).catch(() => undefined);
    await waitFor(async () => await runsOf(key) === 1, {
      what: "the booking to run",
    });
    first.process.child.kill("SIGKILL");
    await interrupted;
    const repeat = await book(second, key);
    expect(repeat.status, repeat.body).to.equal(201);
    expect(await runsOf(key)).to.equal(1);
  });

  // A side is suspended beyond every timeout during a booking and then resumes.
  // A repeat of the booking must not run on the other endpoint.
  it("a booking whose side was suspended is made once", async function () {
    this.timeout(40_000);
    const key = uuidv7();
    for (const { url } of deployment.services) {
      await fetch(`${url}/control`, {
        method: "POST",
        body: JSON.stringify({ delayMilliseconds: 400 }),
      });
    }
    const booking = book(deployment.entries[0], key);
    await waitFor(async () => await runsOf(key) === 1, {
      what: "the booking to run",
    });
    for (const { side } of deployment.services) side.child.kill("SIGSTOP");
    await new Promise((resolve) => setTimeout(resolve, 2_500));
    for (const { side } of deployment.services) side.child.kill("SIGCONT");
    await booking;
    await waitFor(
      async () => (await book(deployment.entries[1], key)).status === 201,
      { what: "the repeat to get the first answer" },
    );
    expect(await runsOf(key)).to.equal(1);
  });
});

/** The entry that holds the claim on the configuration stream, by its log. */
function judgeOf(deployment: SmallDeployment): DeployedEntry {
  return deployment.entries.find((entry) =>
    /"stream":"configuration[^}]*has the claim/.test(entry.process.output())
  ) as DeployedEntry;
}
