#!/bin/sh
# Shows that, at a planned restart, requests that have run are left behind an answer that closes
# their connection. TROUBLE=0 plays the same without the restarts.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/carobplatform ] && [ -x target/standin-3 ] || exit 2
exec target/standin-3 closing review/14/record.txt
