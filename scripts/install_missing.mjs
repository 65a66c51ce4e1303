/**
 * Installs what the lock file names, where it is not there yet. Plain Node.js
 * without any package, as it runs before there are any.
 */
import { spawnSync } from "node:child_process";
import { lstatSync, readFileSync } from "node:fs";
import process from "node:process";

const LOCK_FILE = "package-lock.json";
/** npm writes it at the end of an installation, so a broken one lacks it. */
const INSTALLED_FILE = "node_modules/.package-lock.json";

/** The packages that a lock file names, by their place. */
function readPackages(file) {
  try {
    return JSON.parse(readFileSync(file, "utf8")).packages;
  } catch {
    return {};
  }
}

/** Places whose package is not there in the wanted version. */
function findMissing() {
  const wanted = Object.entries(readPackages(LOCK_FILE));
  const installed = readPackages(INSTALLED_FILE);
  return wanted.filter(([place, { version, optional }]) =>
    place !== "" && !optional && installed[place]?.version !== version
  ).map(([place]) => place);
}

/**
 * Packages that are shared with another checkout by a link. An installation
 * here would empty that checkout's folder under its running programs.
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
  console.log(`Installing packages, ${missing.length} are missing`);
  const run = spawnSync("npm", ["ci", "--no-audit", "--no-fund"], {
    stdio: "inherit",
  });
  process.exit(run.status ?? 1);
}
