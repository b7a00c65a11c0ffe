#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/bin/harness2 ] || [ ! -x target/siskintided ]; then
	echo "run the build of the deploy file and review/build-2.sh first" >&2
	exit 2
fi
exec review/bin/harness2 -case lost-answer -daemon target/siskintided -record review/8/record.txt
