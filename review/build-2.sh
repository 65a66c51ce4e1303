#!/usr/bin/env bash
# Builds the scripts of the cases from 4 on, with the stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
for script in review/[4-8]/run.ts; do
  [ -e "$script" ] || continue
  number="$(basename "$(dirname "$script")")"
  npx esbuild "$script" --bundle --platform=node --target=node20 \
    --format=esm --log-level=warning \
    --banner:js='import { createRequire } from "node:module"; const require = createRequire(import.meta.url);' \
    --outfile="target/review-2/$number.mjs"
done
