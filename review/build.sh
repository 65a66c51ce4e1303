#!/bin/sh
# Bundles the stand-ins and checks of the review, without a network.
set -eu
cd "$(dirname "$0")/.."
for case in 1 2 3; do
  [ -f "review/$case/run.ts" ] || continue
  node_modules/.bin/esbuild "review/$case/run.ts" \
    --bundle --platform=node --target=node20 --format=cjs \
    --log-level=warning --outfile="target/review/case_$case.cjs"
done
