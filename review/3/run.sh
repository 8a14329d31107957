#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/bin/rig ] || [ ! -x target/foldlb ] || [ ! -x target/foldlb-control ]; then
	echo "build first: the build line of deploy/system.toml, then review/build.sh"
	exit 2
fi
exec review/bin/rig order review/3
