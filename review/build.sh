#!/bin/sh
# Builds the stand-ins of all cases. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." && mkdir -p review/bin && go build -o review/bin/harness ./review/harness
