#!/usr/bin/env bash
# Runs the measurements of docs/CAPACITY.md and prints the results in the format
# of that page. Takes about 15 minutes; the fleet of 80 daemons needs about 2 GB
# of memory. Daemon logs go to LOG (default build/measure_capacity.log).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
log=${LOG:-$build/measure_capacity.log}
: >"$log"

run() {
  echo "### \`$*\`"
  echo
  echo '```'
  "$build/Utilities/$1" "${@:2}" 2>>"$log"
  echo '```'
  echo
}

echo "Machine: $(nproc) cores, $(awk '/MemTotal/ {print int($2 / 1024)}' \
  /proc/meminfo) MiB; load average $(cut -d' ' -f1-3 /proc/loadavg)"
echo
run measure_load
for connections in 40 100 200 330; do
  run measure_load --connections=$connections --owners=6 --steps=1
done
for organisations in 1 7000 14000 28000; do
  run measure_load --rate=1000 --steps=1 --seconds=14 --noidle \
    --organisations=$organisations
done
run measure_fleet --fleets=5,10,20,40,80 --nosubtrees
run measure_fleet --fleets=
run measure_fleet --fleets= --pages
run measure_membership
run measure_config
