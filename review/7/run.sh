#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/review-2/case-7 ] || exit 2
exec target/review-2/case-7 "$here/record.txt"
