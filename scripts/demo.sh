#!/usr/bin/env bash
# The demo: stand-ins, 2 entries and 4 guards on loopback, requests through
# them, an explanation, and a planned stop of everything.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap finish EXIT

port() { echo "127.0.0.1:$((${DEMO_PORT:-17000} + $1))"; }
begin() { # log name, command...
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

cat >"$dir/keys.yaml" <<YAML
link: [{id: l1, hex: $(head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n')}]
token: [{id: t1, hex: $(head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n')}]
YAML

vm() { # name role zone pool link
  echo "- {name: $1, role: $2, availabilityZone: $3, pool: \"$4\", link: \"$5\", state: live}" >>"$dir/vms.yaml"
}
common() { # name zone link operators
  printf 'vm: %s\navailabilityZone: %s\nlink: %s\noperators: %s\nplatform: %s\nkeys: %s\nstopWithin: 20s\nwriteEvery: 1s\n' \
    "$1" "$2" "$3" "$4" "$(port 0)" "$dir/keys.yaml"
}
entry() { # name zone number
  common "$1" "$2" "$(port $(($3 + 1)))" "$(port $(($3 + 2)))" >"$dir/$1.yaml"
  echo "listen: $(port "$3")" >>"$dir/$1.yaml"
  vm "$1" entry "$2" "" "$(port $(($3 + 1)))"
}
guard() { # name zone number pool kind
  common "$1" "$2" "$(port $(($3 + 1)))" "$(port $(($3 + 2)))" >"$dir/$1.yaml"
  printf 'pool: %s\nkind: %s\nendpoint: %s\nslots: 16\nreserved: 4\nwaiting: 64\nageAfter: 5s\n' "$4" "$5" "$(port "$3")" >>"$dir/$1.yaml"
  vm "$1" endpoint "$2" "$4" "$(port $(($3 + 1)))"
}

entry entry-1 akl-a 10
entry entry-2 akl-b 20
guard runner-1 akl-a 30 deedwriter engine
guard runner-2 akl-b 40 deedwriter engine
guard runner-3 ham-a 50 mapcore engine
guard register-1 akl-a 60 register service

begin objects bin/tdfake objects --listen "$(port 0)" --vms "$dir/vms.yaml"
begin engine-1 bin/tdfake engine --listen "$(port 30)"
begin engine-2 bin/tdfake engine --listen "$(port 40)"
begin engine-3 bin/tdfake engine --listen "$(port 50)" --first-token 8ms
begin register bin/tdfake plain --listen "$(port 60)"
sleep 0.3
export TRAILDRIFT_PLATFORM
TRAILDRIFT_PLATFORM=$(port 0)
started=()
for name in runner-1 runner-2 runner-3 register-1; do
  begin "$name" bin/traildrift guard -c "$dir/$name.yaml"
  started+=($!)
done
for name in entry-1 entry-2; do
  begin "$name" bin/traildrift entry -c "$dir/$name.yaml"
  started+=($!)
done

echo "== settings"
bin/traildrift settings apply examples/demo/settings.yaml --reason "demo" --author demo --wait 10s --keys "$dir/keys.yaml" | tail -2
echo "== requests"
failed=0
bin/tdfake demo --first "$(port 10)" --second "$(port 20)" --key demo-key | tee "$dir/out" || failed=1
id=$(sed -n 's/^explain: //p' "$dir/out")
echo "== traildrift explain $id"
bin/traildrift explain --operators "$(port 22)" "$id" || failed=1
echo "== bills"
sleep 1.5
bin/traildrift bills || failed=1
if [ -n "${DEMO_HOLD:-}" ]; then
  echo "== the fleet stays up for $DEMO_HOLD s: entries at $(port 10) and $(port 20), platform $(port 0), files in $dir"
  sleep "$DEMO_HOLD"
fi
echo "== planned stop"
for pid in "${started[@]}"; do kill -TERM "$pid"; done
for pid in "${started[@]}"; do
  wait "$pid" || { echo "process $pid did not stop cleanly"; failed=1; }
done
echo "== explain after the entry is gone"
bin/traildrift explain "$id" | sed -n 1,4p || failed=1
if [ "$failed" != 0 ]; then
  tail -n 5 "$dir"/*.log
  echo "demo: FAILED"
  exit 1
fi
echo "demo: all answers were right"
