#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Run it after the build of the deploy file, whose programs the scripts start too.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -trimpath -tags review -o target/review-standin ./review/standin
