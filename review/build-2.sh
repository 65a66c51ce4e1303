#!/usr/bin/env bash
# Builds the scripts of the cases from 4 on, with the stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."

# Bundles a module into target/review-2.
build() {
  npx esbuild "$1" --bundle --platform=node --target=node20 --format=esm \
    --log-level=warning --outfile="target/review-2/$2.mjs" \
    --banner:js='import { createRequire } from "node:module"; const require = createRequire(import.meta.url);'
}

for script in review/[4-8]/run.ts; do
  build "$script" "$(basename "$(dirname "$script")")"
done
build review/support-2/replica_process.ts replica_process
