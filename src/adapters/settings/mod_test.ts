import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import * as fc from "fast-check";
import { formatProblem, loadSettings } from "./mod.ts";

const VALID_SIDE_SETTINGS = `
name = "side-triage-llm-01"
region = "klang-valley"
availabilityZone = "klang-port"
endpoint = "triage-llm-01"
target = "http://127.0.0.1:8000"
entries = ["10.0.0.1:7100"]
peers = { host = "0.0.0.0", port = 7200 }
`;

describe("loadSettings", () => {
  let folder: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "filbertshore-settings-"));
  });

  afterEach(() => rmSync(folder, { recursive: true }));

  function writeSettings(text: string): string {
    const file = join(folder, "side.toml");
    writeFileSync(file, text);
    return file;
  }

  function loadProblems(text: string): string[] {
    const file = writeSettings(text);
    const result = loadSettings(file, "side");
    return result._unsafeUnwrapErr().problems.map((problem) =>
      formatProblem(problem).replace(file, "side.toml")
    );
  }

  it("applies defaults and freezes the settings", () => {
    const file = writeSettings(
      `${VALID_SIDE_SETTINGS}\n[limits]\nmostWaiting = 3\n`,
    );
    const settings = loadSettings(file, "side")._unsafeUnwrap();
    expect(settings.kind).to.equal("engine");
    expect(settings.limits.mostWaiting).to.equal(3);
    expect(settings.limits.mostRunning).to.equal(64);
    expect(settings.coordination.reportMilliseconds).to.equal(1000);
    expect(Object.isFrozen(settings.limits)).to.equal(true);
  });

  // If problems were reported one by one, an operator would need a restart for
  // each of them while the endpoint is out of service.
  it("reports all problems at once", () => {
    const text = VALID_SIDE_SETTINGS.replace(
      "port = 7200",
      'prot = 7200, port = "x"',
    )
      .replace('region = "klang-valley"', "").replace("http:", "ftp:");
    expect(loadProblems(text)).to.have.members([
      "side.toml: region: found nothing, expected a value, as the key is required",
      "side.toml: peers.prot: found an unknown key, expected one of host, port",
      'side.toml: peers.port: found "x", expected a value of type integer',
      'side.toml: target: found "ftp://127.0.0.1:8000", expected text that fits ^http://',
    ]);
  });

  it("reports the position of a TOML syntax error", () => {
    const problems = loadProblems("name = \n");
    expect(problems).to.have.length(1);
    expect(problems[0]).to.match(/line 1, column \d+/);
  });

  it("reports a missing file", () => {
    const result = loadSettings(join(folder, "none.toml"), "entry");
    expect(result._unsafeUnwrapErr().problems[0].found).to.equal("ENOENT");
  });

  // For a truncated file, or one that is no settings file, the program must
  // report problems and exit with its code instead of a stack trace.
  it("accepts or rejects arbitrary text without throwing", () => {
    const lines = VALID_SIDE_SETTINGS.trim().split("\n");
    fc.assert(
      fc.property(
        fc.oneof(
          fc.string(),
          fc.nat(VALID_SIDE_SETTINGS.length).map((end) =>
            VALID_SIDE_SETTINGS.slice(0, end)
          ),
          fc.tuple(fc.nat(lines.length - 1), fc.string()).map(([index, text]) =>
            lines.with(index, `${lines[index].split(" = ")[0]} = ${text}`)
              .join("\n")
          ),
        ),
        (text) => {
          const result = loadSettings(writeSettings(text), "side");
          if (result.isOk()) return;
          expect(result.error.problems).to.have.length.above(0);
          for (const problem of result.error.problems) {
            expect(formatProblem(problem)).to.include("expected");
          }
        },
      ),
      { numRuns: 300 },
    );
  });

  it("rejects addresses without a port", () => {
    const text = VALID_SIDE_SETTINGS.replace("10.0.0.1:7100", "10.0.0.1");
    expect(loadProblems(text)).to.deep.equal([
      'side.toml: entries[0]: found "10.0.0.1", expected an address as host:port',
    ]);
  });

  // If the suspicion timeout is shorter than the report interval, an endpoint
  // is unavailable for most of each second and callers are refused.
  it("rejects times that make a healthy process suspected", () => {
    const text =
      `${VALID_SIDE_SETTINGS}\n[coordination]\nsuspectMilliseconds = 900\n`;
    expect(loadProblems(text)).to.deep.equal([
      "side.toml: coordination.suspectMilliseconds: found 900, " +
      "expected at least twice reportMilliseconds (1000)",
    ]);
  });
});
