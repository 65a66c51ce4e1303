/** Bundles the platform program into one file. */
import { build } from "esbuild";

await build({
  entryPoints: ["platform/main.ts"],
  outfile: "target/filbertshore.cjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  legalComments: "none",
  logLevel: "warning",
});
