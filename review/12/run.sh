#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/entry ] || [ ! -x target/rig3 ]; then
	echo "target/entry comes from the build of the deploy file, target/rig3 from review/build-3.sh" >&2
	exit 2
fi
exec target/rig3 minutely review/12
