#!/usr/bin/env bash
# Plays the case; exit status 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
cd "$(dirname "$0")" || exit 2
repository=$(cd ../.. && pwd)
program=$repository/target/review-3/port_range
[ -x "$program" ] || exit 2
exec "$program" "$repository" record.txt
