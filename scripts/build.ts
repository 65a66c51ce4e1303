/**
 * Bundles the command line into one file and builds the single binary from it.
 */
import { execFileSync } from "node:child_process";
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  renameSync,
  writeFileSync,
} from "node:fs";
import process from "node:process";
import { build } from "esbuild";
import { inject } from "postject";

const BUNDLE = "dist/filbertshore.cjs";
const BLOB = "dist/filbertshore.blob";
const BINARY = "dist/filbertshore";
const TEMPORARY_BINARY = "dist/filbertshore.unfinished";
/** Fuse of Node.js single executable applications, which `inject` switches. */
const SEA_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

/**
 * Replaces `import.meta.url`, which a CommonJS bundle lacks. Libraries read it
 * when they load, and without a value the binary exits before it has parsed its
 * arguments.
 */
const MODULE_URL = "moduleUrl";

async function bundle(): Promise<void> {
  await build({
    entryPoints: ["src/cli/main.ts"],
    outfile: BUNDLE,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    define: { "import.meta.url": MODULE_URL },
    banner: {
      js:
        `const ${MODULE_URL} = require("node:url").pathToFileURL(__filename).href;`,
    },
    legalComments: "none",
    logLevel: "warning",
  });
}

function makeBlob(): Buffer | Promise<Buffer> {
  const configuration = "dist/sea.json";
  writeFileSync(
    configuration,
    JSON.stringify({
      main: BUNDLE,
      output: BLOB,
      disableExperimentalSEAWarning: true,
    }),
  );
  execFileSync(process.execPath, ["--experimental-sea-config", configuration]);
  return import("node:fs/promises").then((files) => files.readFile(BLOB));
}

/**
 * Writes the binary to a temporary path and renames it: overwriting a running
 * binary fails, and a process that starts during the copy would load an
 * incomplete file.
 */
async function makeBinary(): Promise<void> {
  copyFileSync(process.execPath, TEMPORARY_BINARY);
  chmodSync(TEMPORARY_BINARY, 0o755);
  await inject(TEMPORARY_BINARY, "NODE_SEA_BLOB", await makeBlob(), {
    sentinelFuse: SEA_FUSE,
  });
  renameSync(TEMPORARY_BINARY, BINARY);
}

mkdirSync("dist", { recursive: true });
await bundle();
await makeBinary();
console.log(`made ${BINARY}`);
