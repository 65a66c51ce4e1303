import process from "node:process";
import { expect } from "chai";
import { builtBinary } from "../support/built_binary.ts";
import { type CommandResult, Operator } from "../support/operator_commands.ts";
import { waitFor } from "../support/process_fleet.ts";
import { SmallDeployment } from "../support/small_deployment.ts";

describe("Operator commands against running processes", function () {
  this.timeout(60_000);
  let deployment: SmallDeployment;
  let operator: Operator;

  beforeEach(async () => {
    process.env.FILBERTSHORE_BINARY = builtBinary();
    deployment = new SmallDeployment();
    await deployment.start();
    operator = new Operator(deployment);
  });

  afterEach(async () => {
    delete process.env.FILBERTSHORE_BINARY;
    await deployment.close();
  });

  async function setLogFaults(change: unknown): Promise<void> {
    await fetch(`${deployment.logUrl}/control`, {
      method: "POST",
      body: JSON.stringify(change),
    });
  }

  async function publications(): Promise<number> {
    const url =
      `${deployment.logUrl}/streams/configuration.klang-valley/records`;
    const answer = await fetch(`${url}?from=0&limit=1000`);
    const { records } = await answer.json() as {
      records: { value: { body?: { kind?: string } } }[];
    };
    return records.filter(({ value }) => value.body?.kind === "publication")
      .length;
  }

  it("publish waits until the version is in force at every process", async () => {
    const result = await operator.publish({ "triage-0": "draining" });
    const facts = JSON.parse(result.output);
    expect(result.code).to.equal(0);
    expect([facts.have, facts.all]).to.deep.equal([5, 5]);
    const status = await operator.run("status", ["--json"]);
    const fleet = JSON.parse(status.output);
    expect(status.code).to.equal(0);
    expect(fleet.version).to.equal(facts.version);
    const drained = fleet.sides.find((side: { endpoint: string }) =>
      side.endpoint === "triage-0"
    );
    expect(drained.state).to.equal("draining");
  });

  // Two operators drain different engines concurrently. If both publications
  // were accepted, the second would silently undo the first.
  it("publish rejects one of two concurrent publications and names the winner", async () => {
    const before = JSON.parse(
      (await operator.run("status", ["--json"])).output,
    );
    const base = ["--base", String(before.version)];
    const ends = await Promise.all([
      operator.publish({ "triage-0": "draining" }, [
        ...base,
        "--publisher",
        "aminah",
      ]),
      operator.publish({ "triage-1": "draining" }, [
        ...base,
        "--publisher",
        "siti",
      ]),
    ]);
    expect(ends.map(({ code }) => code).sort()).to.deep.equal([0, 1]);
    const loser = ends.find(({ code }) => code === 1) as CommandResult;
    const winner = loser === ends[0] ? "siti" : "aminah";
    expect(JSON.parse(loser.output).outcome).to.equal("publication_rejected");
    expect(loser.output).to.include(`by ${winner} came first`);
  });

  // The log appends the publication and its response is lost. A blind second
  // append would conflict with the first and be reported to the operator as
  // rejected.
  it("publish finds its publication after a lost response", async () => {
    await setLogFaults({ lostAnswers: 1 });
    const before = await publications();
    const result = await operator.publish({ "triage-0": "draining" });
    expect(result.code, result.output).to.equal(0);
    expect(await publications()).to.equal(before + 1);
  });

  // Another tool appends invalid records. They must not come into force at any
  // process, and the next publication must succeed.
  it("publish works after invalid records on the configuration stream", async () => {
    await deployment.publishRaw({ inventory: "none" }, 3);
    await deployment.publishRaw(17, 3);
    await fetch(
      `${deployment.logUrl}/streams/configuration.klang-valley/records`,
      { method: "POST", body: JSON.stringify({ records: [null, "x", {}] }) },
    );
    const result = await operator.publish({ "triage-0": "draining" });
    expect(result.code, result.output).to.equal(0);
  });

  it("publish reports not_made while the log is down", async () => {
    await setLogFaults({ down: "refuse" });
    const args = ["--base", "latest", "--wait-seconds", "2"];
    const result = await operator.publish({ "triage-0": "draining" }, args);
    expect(result.code, result.output).to.equal(1);
    expect(JSON.parse(result.output).outcome).to.equal("not_made");
    await setLogFaults({ down: "no" });
    await waitFor(async () => {
      const again = await operator.publish({ "triage-0": "draining" });
      return again.code === 0;
    }, { what: "the publication to succeed after the outage of the log" });
  });

  // The operator's shell exits before the result arrives. A second run with the
  // same publication id reports the result and appends nothing.
  it("publish reports the result of an earlier publication by its id", async () => {
    const id = ["--base", "latest", "--publication-id", "drain-triage-0"];
    const first = await operator.publish({ "triage-0": "draining" }, id);
    const before = await publications();
    const again = await operator.publish({ "triage-0": "draining" }, id);
    expect([first.code, again.code]).to.deep.equal([0, 0]);
    expect(JSON.parse(again.output)).to.deep.equal(JSON.parse(first.output));
    expect(await publications()).to.equal(before);
  });

  // An operator's files may predate the newest publication. If the command took
  // the latest version as the base, it would silently undo that publication.
  it("publish requires the version that the files are based on", async () => {
    const before = await publications();
    const result = await operator.publish({ "triage-0": "draining" }, []);
    expect(result.code).to.equal(2);
    expect(JSON.parse(result.output).version).to.be.above(0);
    expect(await publications()).to.equal(before);
  });

  it("publish names the processes that have not reported the version", async () => {
    deployment.engines[1].side.child.kill("SIGKILL");
    const args = ["--base", "latest", "--wait-seconds", "2"];
    const result = await operator.publish({ "triage-0": "draining" }, args);
    expect(result.code).to.equal(5);
    expect(JSON.parse(result.output).missing).to.deep.equal(["side-triage-1"]);
  });

  it("status reports an entry that does not respond", async () => {
    deployment.entries[1].process.child.kill("SIGKILL");
    await deployment.entries[1].process.exited;
    const result = await operator.run("status");
    expect(result.code).to.equal(1);
    expect(result.output).to.include(`${deployment.entries[1].peers}`);
    expect(result.output).to.include("triage-0");
  });

  it("publish refuses invalid files and appends nothing", async () => {
    const before = await publications();
    const file = deployment.fleet.writeToml("bad.toml", { region: "x" });
    const result = await operator.run("publish", [
      ...["--inventory", file, "--rules", file],
    ]);
    expect(result.code).to.equal(2);
    expect(result.output).to.include("bad.toml: pools: found nothing");
    expect(result.output).to.include("bad.toml: region: found an unknown key");
    expect(await publications()).to.equal(before);
  });
});
