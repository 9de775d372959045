#!/usr/bin/env bash
# Measures the outcomes of requests while data centre north is out of service for
# 8 s. Runs a stand-in for the platform, and two endpoints and one entry instance
# in each of two data centres, as processes on the loopback interface. Sends 600
# requests per second for 24 s and prints the report of the load command.
#
# usage: departure.sh steady|departure|killed
#   steady     no data centre is out of service
#   departure  operators take north out after 6 s and bring it back after 14 s
#   killed     the endpoints of north are killed after 6 s and restarted after 14 s
set -euo pipefail
mode=$1
root=$(cd "$(dirname "$0")/../.." && pwd)
dir=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop EXIT
go build -C "$root" -o "$dir/crocusjunction" ./cmd/crocusjunction
cp "$root"/examples/local/*.json "$dir"
cd "$dir"
sed -i 's/"upper_limit": 16/"upper_limit": 128/' depots.json
./crocusjunction certificate create --out certs entry-1 entry-2 > /dev/null

run() { # starts a background process and sets $last to its process ID
  "$@" 2> /dev/null &
  last=$!
  pids+=("$last")
}
endpoint() { run ./crocusjunction standin endpoint --work 5ms --listen "127.0.0.1:2713$1"; }

run ./crocusjunction standin platform --listen 127.0.0.1:27100
for n in 1 2 3 4; do endpoint "$n"; eval "endpoint$n=$last"; done
for n in 1 2; do run ./crocusjunction entry --settings "entry-$n.json"; done
sleep 2
for n in 1 2 3 4; do
  centre=$([ "$n" -le 2 ] && echo north || echo south)
  curl -s -d "{\"id\":\"e$n\",\"service\":\"bookings\",\"datacentre\":\"$centre\",\"address\":\"127.0.0.1:2713$n\"}" \
    127.0.0.1:27100/standin/instance
done
export CROCUSJUNCTION_ENTRY=127.0.0.1:27111
./crocusjunction team put --author operator depots.json > /dev/null
./crocusjunction document put --author operator bookings.json > /dev/null
key=$(./crocusjunction key grant --author operator --id k1 depots | grep -oE '[a-f0-9]{64}')
sleep 1
./crocusjunction load --entry 127.0.0.1:27111 --entry 127.0.0.1:27112 --target "depots=bookings:$key" \
  --rate 600 --duration 24s --deadline 2s --concurrency 64 --seed 1 > load.txt &
load=$!
sleep 6
case $mode in
departure) ./crocusjunction datacentre out --author operator north > /dev/null ;;
killed) kill -KILL "$endpoint1" "$endpoint2" ;;
esac
sleep 8
case $mode in
departure) ./crocusjunction datacentre back --author operator north > /dev/null ;;
killed) endpoint 1; endpoint 2 ;;
esac
wait "$load"
cat load.txt
