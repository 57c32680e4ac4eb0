#!/usr/bin/env bash
# Plays the case pending with real entry processes; see claim.txt. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run. TROUBLE=0 plays it without the trouble.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
if [ ! -x target/entry ] || [ ! -x target/review2/rig2 ]; then
	echo "run the build of the deploy file and review/build-2.sh first"
	exit 2
fi
exec target/review2/rig2 pending "$folder"
