#!/usr/bin/env bash
# Runs the programs of this tree beside, and on the data of, those of another revision, both ways:
# routers of both in one fleet under faults, entries with guards, and the store, settings, bills, trail and
# logs that either wrote. Usage: scripts/mixed.sh REV   (some 10 minutes; ROUTER_TESTS narrows the first part)
set -euo pipefail
cd "$(dirname "$0")/.."
rev=${1:?usage: scripts/mixed.sh REV}
dir=$(mktemp -d)
pids=()
end() { # ends all processes of a round
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
finish() {
  end
  git worktree remove --force "$dir/tree" 2>/dev/null || true
  rm -rf "$dir"
}
trap finish EXIT
failed=()
check() { # what, command...
  local what=$1
  shift
  if "$@"; then echo "ok      $what"; else
    echo "FAILED  $what"
    failed+=("$what")
  fi
}

git worktree add --quiet --detach "$dir/tree" "$rev"
build() { # tree, name
  mkdir -p "$dir/$2"
  (cd "$1" && go build -o "$dir/$2/" ./cmd/... && go test -c -o "$dir/$2/platform.test" ./platform)
}
build "$dir/tree" old
build . new

echo "== logs of either, read by both"
for by in old new; do
  tree=.
  [ "$by" = new ] || tree=$dir/tree
  mkdir -p "$dir/logs-$by"
  (cd "$tree/platform" && SOAK_LOGS=$dir/logs-$by SOAK_SEEDS=1-2 "$dir/$by/platform.test" -test.run 'TestSoak$' >"$dir/soak-$by.out" 2>&1) || { cat "$dir/soak-$by.out"; failed+=("soak of $by"); }
  for reader in old new; do
    "$dir/$reader/traildrift" account "$dir/logs-$by"/*.log >"$dir/account-$reader" || failed+=("account of $by by $reader")
    id=$(awk -F'"request":"' '!id && NF > 1 { split($2, part, "\""); id = part[1] } END { print id }' "$dir/logs-$by"/*.log)
    "$dir/$reader/traildrift" explain --logs "$dir/logs-$by"/*.log -- "$id" >"$dir/explain-$reader" || failed+=("explain $id of $by by $reader")
  done
  check "account of logs of $by: the same from both" cmp "$dir/account-old" "$dir/account-new"
  check "explain from logs of $by: the same from both" cmp "$dir/explain-old" "$dir/explain-new"
done

port() { echo "127.0.0.1:$((${MIXED_PORT:-17500} + $1))"; }
begin() { # log name, command...
  local name=$1
  shift
  "$@" >>"$dir/$name.log" 2>&1 &
  pids+=($!)
}
write() { # name role zone number pool kind
  printf 'vm: %s\navailabilityZone: %s\nlink: %s\noperators: %s\nplatform: %s\nkeys: %s\nstopWithin: 20s\nwriteEvery: 1s\n' \
    "$1" "$3" "$(port $(($4 + 1)))" "$(port $(($4 + 2)))" "$(port 0)" "$dir/keys.yaml" >"$dir/$1.yaml"
  if [ "$2" = entry ]; then
    echo "listen: $(port "$4")" >>"$dir/$1.yaml"
  else
    printf 'pool: %s\nkind: %s\nendpoint: %s\nslots: 16\nreserved: 4\nwaiting: 64\nageAfter: 5s\n' "$5" "$6" "$(port "$4")" >>"$dir/$1.yaml"
  fi
  echo "- {name: $1, role: $2, availabilityZone: $3, pool: \"$5\", link: \"$(port $(($4 + 1)))\", state: live}" >>"$dir/vms.yaml"
}
key() { head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n'; }
printf 'link: [{id: l1, hex: %s}]\ntoken: [{id: t1, hex: %s}]\n' "$(key)" "$(key)" >"$dir/keys.yaml"
export TRAILDRIFT_PLATFORM

processes() { # entries' program, guards' program: one life of the fleet on the store that is there
  local name
  lives=()
  for name in runner-1 runner-2 runner-3 register-1; do
    begin "$name" "$dir/$2/traildrift" guard -c "$dir/$name.yaml"
    lives+=($!)
  done
  for name in entry-1 entry-2; do
    begin "$name" "$dir/$1/traildrift" entry -c "$dir/$name.yaml"
    lives+=($!)
  done
}
stopped() { # planned stop of a life; each process must end without an error
  local pid bad=0
  for pid in "${lives[@]}"; do kill -TERM "$pid"; done
  for pid in "${lives[@]}"; do wait "$pid" || bad=1; done
  return $bad
}
demo() { "$dir/new/tdfake" demo --first "$(port 10)" --second "$(port 20)" --key demo-key >"$dir/demo.out" || { cat "$dir/demo.out"; return 1; }; }
dump() { "$dir/$1/traildrift" dump --operators "$2" >"$dir/dump.out" && [ -s "$dir/dump.out" ]; }
same() { # args: what both programs print of what is stored
  "$dir/old/traildrift" "$@" >"$dir/out-old" && "$dir/new/traildrift" "$@" >"$dir/out-new" && [ -s "$dir/out-new" ] && cmp "$dir/out-old" "$dir/out-new"
}
round() { # first writer, second writer: what the first wrote is read by the second, and used
  echo "== store, settings, bills and trail of $1, then $2 on them"
  rm -f "$dir/vms.yaml"
  write entry-1 entry akl-a 10 ""
  write entry-2 entry akl-b 20 ""
  write runner-1 endpoint akl-a 30 deedwriter engine
  write runner-2 endpoint akl-b 40 deedwriter engine
  write runner-3 endpoint ham-a 50 mapcore engine
  write register-1 endpoint akl-a 60 register service
  TRAILDRIFT_PLATFORM=$(port 0)
  begin objects "$dir/$1/tdfake" objects --listen "$(port 0)" --vms "$dir/vms.yaml"
  for n in 30 40 50; do begin "engine-$n" "$dir/$1/tdfake" engine --listen "$(port $n)"; done
  begin register "$dir/$1/tdfake" plain --listen "$(port 60)"
  sleep 0.5
  processes "$1" "$1"
  "$dir/$1/traildrift" settings apply examples/demo/settings.yaml --reason "mixed" --author "$1" --wait 20s --keys "$dir/keys.yaml" >"$dir/apply.out" || { cat "$dir/apply.out"; failed+=("apply by $1"); }
  check "requests, all of $1" demo
  id=$(sed -n 's/^explain: //p' "$dir/demo.out")
  for p in entry-1:12 runner-1:32; do
    check "dump of ${p%:*} of $1 by $2" dump "$2" "$(port "${p#*:}")"
  done
  sleep 1.5
  check "planned stop of $1" stopped
  for args in "settings get" "settings history" "bills" "bills --json" "explain $id" "explain --json $id"; do
    # shellcheck disable=SC2086
    check "${args/$id/ID} of what $1 wrote: the same from both" same $args
  done
  processes "$2" "$2"
  sed 's/answerWithin: 30s/answerWithin: 29s/' examples/demo/settings.yaml >"$dir/settings.yaml"
  "$dir/$2/traildrift" settings apply "$dir/settings.yaml" --reason "again" --author "$2" --wait 20s --keys "$dir/keys.yaml" >"$dir/apply.out" || { cat "$dir/apply.out"; failed+=("apply by $2 on the store of $1"); }
  check "requests, all of $2 on the store of $1" demo
  check "settings history of both: the same from both" same settings history
  sleep 1.5
  check "planned stop of $2" stopped
  check "bills of both: the same from both" same bills --json
  processes "$1" "$2"
  sleep 3
  check "requests, entries of $1, guards of $2" demo
  check "planned stop" stopped
  end
}
round old new
round new old

echo "== entries of one revision, guards of the other"
for role in entry endpoint; do
  check "tests of the fleet, $role processes of $rev" env TRAILDRIFT_RIG_OTHER="$dir/old/tdfake" TRAILDRIFT_RIG_OTHER_ROLE=$role \
    go test -count=1 -timeout 20m ./internal/rig
done

echo "== routers of both revisions in one fleet"
check "tests of routers as processes, every second one of $rev" env SOAK_OTHER="$dir/old/platform.test" \
  go test -count=1 -timeout 30m -run "${ROUTER_TESTS:-Soak|Restarts|Usage|RequestThatEnds|LimitsThat|RunnerThat|VersionThat}" ./platform

if [ ${#failed[@]} != 0 ]; then
  echo "mixed: FAILED: ${failed[*]}"
  exit 1
fi
echo "mixed: old and new understand one another"
