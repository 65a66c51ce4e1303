import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { builtBinary } from "../support/built_binary.ts";

const COMMANDS = ["entry", "side", "publish", "status", "check"];

describe("The single binary", () => {
  let binary: string;
  let folder: string;

  before(function () {
    this.timeout(60_000);
    binary = builtBinary();
    folder = mkdtempSync(join(tmpdir(), "filbertshore-binary-"));
  });

  after(() => rmSync(folder, { recursive: true }));

  function run(...args: string[]) {
    return spawnSync(binary, args, { encoding: "utf8", timeout: 10_000 });
  }

  // The bundle runs but the binary made from it may not: a library may read the
  // path of its own file, which does not exist in a single binary.
  it("prints its version and the help of every command", () => {
    expect(run("--version").stdout.trim()).to.equal("0.1.0");
    for (const command of COMMANDS) {
      const help = run(command, "--help");
      expect(help.status, help.stderr).to.equal(0);
      expect(help.stdout).to.include("Exit codes");
    }
  });

  // A unit file has a misspelled command or option. Exit code 2 shows the
  // operator that a restart does not help.
  it("exits with code 2 on invalid arguments", () => {
    for (const args of [["nonsense"], ["check"], ["entry"], []]) {
      const result = run(...args);
      expect(result.status, args.join(" ")).to.equal(2);
      expect(result.stderr).to.not.include("    at ");
    }
  });

  for (const command of ["entry", "side"]) {
    // An operator misspells a key. If the process started with the default
    // instead, it would run with an unintended limit.
    it(`exits with code 2 and all problems of the ${command} settings`, () => {
      const file = join(folder, `${command}.toml`);
      writeFileSync(file, 'name = "X!"\nregoin = "klang-valley"\n');
      const result = run(command, "--settings", file);
      expect(result.status).to.equal(2);
      expect(result.stderr).to.include(`${file}: regoin: found an unknown key`);
      expect(result.stderr).to.include(`${file}: region: found nothing`);
      expect(result.stderr).to.include(`${file}: name: found "X!"`);
    });
  }
});
