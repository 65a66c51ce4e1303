import { spawnSync } from "node:child_process";
import {
  copyFileSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  symlinkSync,
  utimesSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import process from "node:process";
import { expect } from "chai";

const SCRIPT = resolve("scripts/install_missing.mjs");

describe("Installing missing packages", () => {
  let folder: string;
  let shared: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "filbertshore-install-"));
    shared = join(folder, "shared");
    mkdirSync(shared);
    writeFileSync(join(shared, "in_use"), "");
    copyFileSync("package-lock.json", join(folder, "package-lock.json"));
    symlinkSync(shared, join(folder, "node_modules"));
  });

  afterEach(() => rmSync(folder, { recursive: true }));

  function run() {
    // The unreachable registry prevents downloads, whatever the script decides.
    return spawnSync(process.execPath, [SCRIPT], {
      cwd: folder,
      encoding: "utf8",
      env: { ...process.env, npm_config_registry: "http://127.0.0.1:9/" },
    });
  }

  // Two checkouts share their packages by a symbolic link. npm empties the
  // folder before it installs, which breaks programs running in the other
  // checkout.
  it("never empties a package folder shared with another checkout", () => {
    const result = run();
    expect(result.status).to.equal(1);
    expect(result.stderr).to.include("node_modules is a link");
    expect(existsSync(join(shared, "in_use"))).to.equal(true);
  });

  // A checkout rewrites the lock file. A comparison of modification times would
  // then reinstall everything although all versions are equal.
  it("compares versions instead of modification times", () => {
    const { packages } = JSON.parse(readFileSync("package-lock.json", "utf8"));
    const installedLock = join(shared, ".package-lock.json");
    writeFileSync(installedLock, JSON.stringify({ packages }));
    utimesSync(installedLock, 0, 0);
    expect(run().status).to.equal(0);
    expect(existsSync(join(shared, "in_use"))).to.equal(true);
  });
});
