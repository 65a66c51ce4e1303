/** Builds the package that embedders install: one module and its types. */
import { execFileSync } from "node:child_process";
import { build } from "esbuild";

await build({
  entryPoints: ["src/mod.ts"],
  outfile: "dist/mod.js",
  bundle: true,
  // The package must share its `neverthrow` instance with the embedder.
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
