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

describe("Installing what is missing", () => {
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
    // Without a registry nothing is fetched, whatever the script decides.
    return spawnSync(process.execPath, [SCRIPT], {
      cwd: folder,
      encoding: "utf8",
      env: { ...process.env, npm_config_registry: "http://127.0.0.1:9/" },
    });
  }

  // Two checkouts share their packages by a link. npm empties the folder
  // before it installs, under the programs that the other one runs.
  it("never empties packages that another checkout uses", () => {
    const result = run();
    expect(result.status).to.equal(1);
    expect(result.stderr).to.include("node_modules is a link");
    expect(existsSync(join(shared, "in_use"))).to.equal(true);
  });

  // A checkout writes the lock file anew. By its time everything would be
  // missing, though every version is the same.
  it("goes by versions, not by the files' times", () => {
    const { packages } = JSON.parse(readFileSync("package-lock.json", "utf8"));
    const installedLock = join(shared, ".package-lock.json");
    writeFileSync(installedLock, JSON.stringify({ packages }));
    utimesSync(installedLock, 0, 0);
    expect(run().status).to.equal(0);
    expect(existsSync(join(shared, "in_use"))).to.equal(true);
  });
});
