import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, statSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

const BINARY = "dist/filbertshore";

/** Returns the path of the single binary; rebuilds it if a source is newer. */
export function builtBinary(): string {
  if (
    existsSync(BINARY) && latestModification("src") <= statSync(BINARY).mtimeMs
  ) {
    return BINARY;
  }
  const build = spawnSync(process.execPath, [
    "--import",
    "tsx",
    "scripts/build.ts",
  ], { encoding: "utf8" });
  if (build.status !== 0) throw new Error(build.stderr);
  return BINARY;
}

/**
 * Latest modification time of any file in a folder, milliseconds since the
 * epoch.
 */
function latestModification(folder: string): number {
  const times = readdirSync(folder, { withFileTypes: true }).map((entry) => {
    const path = join(folder, entry.name);
    return entry.isDirectory()
      ? latestModification(path)
      : statSync(path).mtimeMs;
  });
  return Math.max(0, ...times);
}
