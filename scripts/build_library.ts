/** Makes the package that embedders install: one module and its types. */
import { execFileSync } from "node:child_process";
import { build } from "esbuild";

await build({
  entryPoints: ["src/mod.ts"],
  outfile: "dist/mod.js",
  bundle: true,
  // An embedder's `neverthrow` and the package's own must be the same one.
  packages: "external",
  platform: "neutral",
  target: "es2022",
  format: "esm",
  legalComments: "none",
  logLevel: "warning",
});
execFileSync("npx", ["tsc", "--project", "tsconfig.library.json"], {
  stdio: "inherit",
});
console.log("made dist/mod.js and dist/types");
