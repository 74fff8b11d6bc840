#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 review/bin/standin-trial refused target/masticdriftd review/2/record.txt "$folder"
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
