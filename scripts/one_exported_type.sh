#!/bin/sh
# Each package under pkg/ and internal/ exports at most one type, and its Config
# beside it.
set -eu
bad=0
for folder in $(find pkg internal platform -type d); do
	files=$(find "$folder" -maxdepth 1 -name '*.go' ! -name '*_test.go')
	[ -n "$files" ] || continue
	# shellcheck disable=SC2086
	types=$(cat $files | awk '
		/^type \($/ { block = 1; next }
		block && /^\)/ { block = 0 }
		block && /^\t[A-Z][A-Za-z0-9_]*[ \[]/ { split($1, part, "["); print part[1] }
		/^type [A-Z]/ { split($2, part, "["); print part[1] }
	' | grep -vx Config || true)
	count=$(printf '%s' "$types" | grep -c . || true)
	if [ "$count" -gt 1 ]; then
		echo "$folder exports more than one type:" $types
		bad=1
	fi
	if [ "$(sed -n 's/^package \([a-z0-9]*\).*/\1/p' $files | sort -u)" != "$(basename "$folder")" ]; then
		echo "$folder: the package has another name than its folder"
		bad=1
	fi
done
exit $bad
