/**
 * Installs the packages of the lock file if any is missing. Uses only Node.js
 * built-ins, because it runs before packages are installed.
 */
import { spawnSync } from "node:child_process";
import { lstatSync, readFileSync } from "node:fs";
import process from "node:process";

const LOCK_FILE = "package-lock.json";
/** npm writes it at the end of an installation; an aborted one lacks it. */
const INSTALLED_FILE = "node_modules/.package-lock.json";

/** Packages of a lock file by install path; empty if the file can't be read. */
function readPackages(file) {
  try {
    return JSON.parse(readFileSync(file, "utf8")).packages;
  } catch {
    return {};
  }
}

/** Install paths whose package is missing or has another version. */
function findMissing() {
  const wanted = Object.entries(readPackages(LOCK_FILE));
  const installed = readPackages(INSTALLED_FILE);
  return wanted.filter(([path, { version, optional }]) =>
    path !== "" && !optional && installed[path]?.version !== version
  ).map(([path]) => path);
}

/**
 * Whether `node_modules` is a symbolic link to another checkout's packages. An
 * installation would empty that folder while programs of the other checkout
 * run.
 */
function isShared() {
  return lstatSync("node_modules", { throwIfNoEntry: false })
    ?.isSymbolicLink() ?? false;
}

const missing = findMissing();
if (missing.length > 0 && isShared()) {
  console.error(`node_modules is a link and lacks ${missing.length} packages`);
  process.exit(1);
}
if (missing.length > 0) {
  console.log(`Installing packages: ${missing.length} missing`);
  const run = spawnSync("npm", ["ci", "--no-audit", "--no-fund"], {
    stdio: "inherit",
  });
  process.exit(run.status ?? 1);
}
