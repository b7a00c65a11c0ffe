#!/bin/sh
# Builds the stand-ins of the cases of the second review. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." && mkdir -p review/bin && go build -o review/bin/harness2 ./review/harness2
