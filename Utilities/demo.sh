#!/usr/bin/env bash
# Sets up a new machine, builds, and demonstrates the main function: three
# daemons forward requests to three backend servers. One backend server starts
# to fail, is ejected, recovers and returns. The script then stops all processes
# and exits. All processes listen on addresses 127.77.0.x.
set -euo pipefail
cd "$(dirname "$0")/.."

say() { printf '\n== %s\n' "$*"; }

Utilities/setup.sh
cmake --preset default >/dev/null
cmake --build build --target comfreyd comfreyctl fake_config_service \
  fake_backend_server

work=$(mktemp -d)
pids=()
cleanup() {
  if [ ${#pids[@]} -gt 0 ]; then
    kill "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
  fi
  rm -rf "$work"
}
trap cleanup EXIT

# Starts a process in the background with a log file of its own. Arguments:
# name, program, arguments of the program.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

# Waits until a command succeeds. Arguments: timeout in seconds, description,
# command.
wait_for() {
  local end=$((SECONDS + $1)) what=$2
  shift 2
  until "$@"; do
    if [ $SECONDS -ge "$end" ]; then
      echo "demo: timeout while waiting for $what" >&2
      cat "$work"/*.log >&2
      exit 1
    fi
    sleep 0.2
  done
}

ctl() { build/Source/ctl/comfreyctl "$@"; }
ready() { curl -sf -o /dev/null "http://127.77.0.$1:8080/comfrey/readyz"; }
all_ready() { ready 1 && ready 2 && ready 3; }
endpoint_line() {
  ctl status --all --daemon 127.77.0.1:8080 | grep "127.77.0.2:8081" || true
}
# Sends 40 requests, which takes about a second.
send_some() {
  for _ in $(seq 1 40); do
    curl -s -o /dev/null "http://127.77.0.1:8080/shop/proofs"
  done
}
# Sends requests, then checks that the status of the endpoint of VM 2 has $1.
shows() {
  send_some
  endpoint_line | grep -q "$1"
}

say "start the configuration service and three VMs, each with a backend server and a daemon"
start config build/Tests/stand_ins/fake_config_service --address=127.77.0.250
for vm in 1 2 3; do
  start "backend-$vm" build/Tests/stand_ins/fake_backend_server \
    --address="127.77.0.$vm" --name="backend-$vm"
  seeds=$(printf '127.77.0.%s, ' 1 2 3)
  cat >"$work/vm-$vm.ini" <<INI
[daemon]
name = vm-$vm
address = 127.77.0.$vm
region = demo
failure_domain = demo-a
[peers]
seeds = ${seeds%, }
[config_service]
address = 127.77.0.250:7300
INI
  start "vm-$vm" build/Source/daemon/comfreyd --settings="$work/vm-$vm.ini"
done

say "check and publish the configuration of team shop"
cat >"$work/shop.ini" <<INI
[team]
[service atelier]
# No keyed request was sent before the launch.
keys_since = $(date -u -d '+5 seconds' +%Y-%m-%dT%H:%M:%SZ)
endpoints = 127.77.0.1:8081, 127.77.0.2:8081, 127.77.0.3:8081
slots = 4
floor = 60%
detection = fast
warmup = 1s
[rank customer]
urgency = 1
target = 250ms
share = 60%
worth = 10
[rank internal]
urgency = 5
target = 2s
share = 10%
worth = 1
[route proofs]
service = atelier
rank = customer
path = /proofs
repeat = safe
[route orders]
service = atelier
rank = customer
method = POST
path = /orders
repeat = never
[route checks]
service = atelier
rank = internal
path = /checks
repeat = safe
INI
ctl check "$work/shop.ini"
wait_for 10 "the configuration service" curl -sf -o /dev/null -X PUT \
  --data-binary "@$work/shop.ini" \
  "http://127.77.0.250:7300/control/value?path=/comfreywood/teams/shop"
wait_for 30 "ready daemons" all_ready

say "a request through the daemon of VM 1"
curl -sS -i -H "X-Request-Id: demo-1" http://127.77.0.1:8080/shop/proofs/17

say "an order, which must not run twice"
curl -sS -X POST -H "X-Request-Id: demo-2" --data "two hundred plates" \
  http://127.77.0.3:8080/shop/orders
echo
ctl explain --daemon 127.77.0.1:8080 POST /shop/orders

say "the backend server of VM 2 starts to fail; its health endpoint still says ok"
wait_for 30 "a healthy endpoint" shows healthy
curl -sf -X PUT -d "" "http://127.77.0.2:8081/control/fault?mode=wrong"
curl -sS http://127.77.0.2:8081/health
echo
wait_for 60 "the ejection" shows ejected
endpoint_line

say "it recovers and returns"
curl -sf -X PUT -d "" "http://127.77.0.2:8081/control/fault?mode=ok"
wait_for 120 "the return" shows healthy
endpoint_line

say "status of the fleet"
ctl status --daemon 127.77.0.1:8080,127.77.0.2:8080,127.77.0.3:8080

say "burn report"
ctl burn --daemon 127.77.0.1:8080,127.77.0.2:8080,127.77.0.3:8080

say "graceful shutdown of the daemons"
for index in 6 4 2; do
  kill -TERM "${pids[$index]}"
done
for index in 2 4 6; do
  wait "${pids[$index]}"
done
echo "all daemons stopped with exit status 0"
