import process from "node:process";
import { expect } from "chai";
import { builtBinary } from "../support/built_binary.ts";
import { type CommandResult, Operator } from "../support/operator_commands.ts";
import { waitFor } from "../support/process_fleet.ts";
import { SmallDeployment } from "../support/small_deployment.ts";

describe("Operators' commands against running processes", function () {
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

  async function logControl(change: unknown): Promise<void> {
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

  it("publish waits until every process has the version in force", async () => {
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

  // Two operators drain different engines at the same moment. If both took
  // effect, the second would silently undo the first.
  it("of two that publish at once one wins, and the other hears who", async () => {
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

  // The log takes the publication and its answer is lost. Appended once more
  // blindly, it would be beaten by itself and the operator told that it failed.
  it("finds a publication whose answer was lost", async () => {
    await logControl({ lostAnswers: 1 });
    const before = await publications();
    const result = await operator.publish({ "triage-0": "draining" });
    expect(result.code, result.output).to.equal(0);
    expect(await publications()).to.equal(before + 1);
  });

  // The operator's own tool appends an inventory that makes no sense. It must
  // not come into force anywhere, and the next change has to go through.
  it("goes on after garbage on the configuration stream", async () => {
    await deployment.publishRaw({ inventory: "none" }, 3);
    await deployment.publishRaw(17, 3);
    await fetch(
      `${deployment.logUrl}/streams/configuration.klang-valley/records`,
      { method: "POST", body: JSON.stringify({ records: [null, "x", {}] }) },
    );
    const result = await operator.publish({ "triage-0": "draining" });
    expect(result.code, result.output).to.equal(0);
  });

  it("says that nothing was made while the log is down", async () => {
    await logControl({ down: "refuse" });
    const args = ["--base", "latest", "--wait-seconds", "2"];
    const result = await operator.publish({ "triage-0": "draining" }, args);
    expect(result.code, result.output).to.equal(1);
    expect(JSON.parse(result.output).outcome).to.equal("not_made");
    await logControl({ down: "no" });
    await waitFor(async () => {
      const again = await operator.publish({ "triage-0": "draining" });
      return again.code === 0;
    }, { what: "the change to go through once the log is back" });
  });

  // The operator's shell dies before it has seen the verdict. Asked again by
  // its id, the command tells what became of it and appends nothing.
  it("finds out by its id what became of a publication", async () => {
    const id = ["--base", "latest", "--publication-id", "drain-triage-0"];
    const first = await operator.publish({ "triage-0": "draining" }, id);
    const before = await publications();
    const again = await operator.publish({ "triage-0": "draining" }, id);
    expect([first.code, again.code]).to.deep.equal([0, 0]);
    expect(JSON.parse(again.output)).to.deep.equal(JSON.parse(first.output));
    expect(await publications()).to.equal(before);
  });

  // An operator's file was made an hour ago and somebody has published since.
  // A base that the command looks up itself would always fit and undo that.
  it("asks which version the files were made on", async () => {
    const before = await publications();
    const result = await operator.publish({ "triage-0": "draining" }, []);
    expect(result.code).to.equal(2);
    expect(JSON.parse(result.output).version).to.be.above(0);
    expect(await publications()).to.equal(before);
  });

  it("names the processes that have not told of a version", async () => {
    deployment.engines[1].side.child.kill("SIGKILL");
    const args = ["--base", "latest", "--wait-seconds", "2"];
    const result = await operator.publish({ "triage-0": "draining" }, args);
    expect(result.code).to.equal(5);
    expect(JSON.parse(result.output).missing).to.deep.equal(["side-triage-1"]);
  });

  it("status tells of an entry that does not answer", async () => {
    deployment.entries[1].process.child.kill("SIGKILL");
    await deployment.entries[1].process.exited;
    const result = await operator.run("status");
    expect(result.code).to.equal(1);
    expect(result.output).to.include(`${deployment.entries[1].peers}`);
    expect(result.output).to.include("triage-0");
  });

  it("publish refuses files that can't be used and appends nothing", async () => {
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
