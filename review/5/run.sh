#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/carobplatform ] || [ ! -x review/bin/standin ]; then
	echo "build the project with the line of deploy/system.toml, and then review/build.sh"
	exit 2
fi
# The nodes get the number of descriptors that their settings name (max-fds).
ulimit -n 4100 || exit 2
exec review/bin/standin config review/5
