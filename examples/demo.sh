#!/bin/bash
# Shows both example deployments at the sizes of their owners: a node and a target for each target
# host, a key-value service, the configuration approved by two co-owners, mixed calls while one
# target drains and another is killed. Exit status 1 if a promise was broken. The links between
# failure domains have no delay here, everything runs on one machine.
set -u
build=$(realpath "$1")
examples=$(dirname "$(realpath "$0")")
work=$(mktemp -d)
pids=()
broken=0

cleanup () {
  [ "${#pids[@]}" -gt 0 ] && kill "${pids[@]}" 2>/dev/null
  wait 2>/dev/null
  rm -rf "$work"
}
trap cleanup EXIT

start () { # LOG COMMAND...
  local log=$1
  shift
  "$@" >"$log" 2>&1 &
  pids+=($!)
  # Killed ones are part of the demo; the shell does not report them.
  disown
}

wait_for () { # DESCRIPTION COMMAND...
  local what=$1
  shift
  for _ in $(seq 200); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "demo: gave up waiting for $what" >&2
  tail -n 3 "$work"/*.log >&2
  exit 1
}

promise () { # NAME VALUE EXPECTED
  if [ "$2" = "$3" ]; then
    printf '  kept    %s: %s\n' "$1" "$2"
  else
    printf '  BROKEN  %s: %s, expected %s\n' "$1" "$2" "$3"
    broken=1
  fi
}

metric_sum () { # NAME PORT...
  local name=$1
  shift
  for port in "$@"; do
    curl -s "http://127.0.0.1:$port/metrics"
  done | awk -v name="$name" 'index($1, name) == 1 && ($1 == name || substr($1, length(name) + 1, 1) == "{") { sum += $2 } END { print sum + 0 }'
}

public_key () { # NAME
  cat "$work/$1.pub"
}

node_settings () { # DEPLOYMENT REGION INDEX BASE SERVICE
  cat <<SETTINGS
node: {deployment: $1, name: $1-$5-$3, region: $2, failure_domain: $2-$(($3 % 3 + 1))}
listen:
  callers: 127.0.0.1:$(($4 + 100 + $3))
  peers: 127.0.0.1:$(($4 + 200 + $3))
  control: 127.0.0.1:$(($4 + 300 + $3))
contacts: ["127.0.0.1:$(($4 + 300))", "127.0.0.1:$(($4 + 301))", "127.0.0.1:$(($4 + 302))"]
store: 127.0.0.1:$4
owners:
  - {name: first, public_key: $(public_key "$1-first")}
  - {name: second, public_key: $(public_key "$1-second")}
log: {level: info}
SETTINGS
}

in_force () { # COUNT PORT...
  local count=$1
  shift
  [ "$(metric_sum siskingrade_config_revision "$@")" = "$count" ]
}

run_deployment () { # DEPLOYMENT REGION SLOTS BASE "SERVICE:COUNT..." CALLER-SERVICES...
  local name=$1 region=$2 slots=$3 base=$4 services=$5
  shift 5
  local ctl=("$build/siskingradectl" --node "127.0.0.1:$((base + 300))"
    --owners "$work/$name-owners.yaml")
  local index=0 service count node_options=() control_ports=() target_pids=() started

  echo "== $name"
  for owner in first second; do
    "$build/siskingradectl" keygen "$work/$name-$owner" >/dev/null || exit 1
  done
  cat >"$work/$name-owners.yaml" <<OWNERS
deployment: $name
owners:
  - {name: first, public_key: $(public_key "$name-first")}
  - {name: second, public_key: $(public_key "$name-second")}
OWNERS
  start "$work/$name-store.log" "$build/standin-store" --listen "127.0.0.1:$base"
  for entry in $services; do
    service=${entry%:*}
    count=${entry#*:}
    for _ in $(seq "$count"); do
      node_settings "$name" "$region" "$index" "$base" "$service" >"$work/$name-$index.yaml"
      start "$work/$name-node-$index.log" "$build/siskingraded" "$work/$name-$index.yaml"
      start "$work/$name-target-$index.log" "$build/standin-target" \
        --listen "127.0.0.1:$((base + 400 + index))" \
        --announce "127.0.0.1:$((base + 300 + index))" --service "$service" --slots "$slots" \
        --seed "$index" --execution-log "$work/$name-executions"
      target_pids[index]=${pids[-1]}
      node_options+=(--node "127.0.0.1:$((base + 100 + index))")
      control_ports+=($((base + 300 + index)))
      index=$((index + 1))
    done
  done
  wait_for "$name: members" in_members "$index" "${control_ports[@]}"

  "${ctl[@]}" --owner first --key "$work/$name-first.key" --id initial create \
    "$examples/$name.yaml" || exit 1
  promise "not in force with one approval" "$(metric_sum siskingrade_config_revision "${control_ports[@]}")" 0
  started=$(date +%s%N)
  "${ctl[@]}" --owner second --key "$work/$name-second.key" approve initial || exit 1
  wait_for "$name: configuration" in_force "$index" "${control_ports[@]}"
  echo "  in force at all $index nodes after $((($(date +%s%N) - started) / 1000000)) ms"

  # A target of the first service drains, one of the service with writes is killed, while calls run.
  ( sleep 3
    curl -s -X POST "http://127.0.0.1:$((base + 400))/admin/drain" >/dev/null
    sleep 2
    kill -9 "${target_pids[6]}" ) &
  local faults=$!
  "$build/standin-caller" "${node_options[@]}" "$@" --rate 200 --seconds 10 --seed "$base" \
    --report "$work/$name-writes" | tee "$work/$name-table"
  promise "answers whole and of their own call (exit status of the callers)" "${PIPESTATUS[0]}" 0
  wait "$faults" 2>/dev/null
  check_executions "$name"
  "${ctl[@]}" status
  local sent failed bytes
  sent=$(metric_sum siskingrade_probe_calls_total "${control_ports[@]}")
  failed=$(metric_sum siskingrade_probe_failures_total "${control_ports[@]}")
  bytes=$(metric_sum siskingrade_probe_bytes_total "${control_ports[@]}")
  echo "  measuring: $sent probes, $bytes bytes, $failed failed"
  echo
}

in_members () { # COUNT PORT...
  local count=$1
  shift
  [ "$(metric_sum siskingrade_members "$@")" = "$((count * $#))" ]
}

check_executions () { # DEPLOYMENT
  local writes="$work/$1-writes" executions="$work/$1-executions"
  if [ ! -s "$writes" ] || [ ! -s "$executions" ]; then
    promise "writes and executions recorded" no yes
    return
  fi
  # One row for each write: its outcome and how often it ran.
  sort "$executions" | uniq -c | awk '{ print $2, $1 }' >"$work/counts"
  awk -v counts="$work/counts" 'BEGIN { while ((getline line < counts) > 0) { split(line, f, " "); n[f[1]] = f[2] } }
    { print $2, n[$1] + 0 }' "$writes" >"$work/rows"
  echo "  writes: $(wc -l <"$work/rows"), executions of them: $(awk '{ sum += $2 } END { print sum }' "$work/rows")"
  promise "writes that ran twice" "$(awk '$2 > 1' "$work/rows" | wc -l)" 0
  promise "complete writes that did not run once" "$(awk '$1 == "complete" && $2 != 1' "$work/rows" | wc -l)" 0
  promise "writes reported as not run that ran" "$(awk '$1 == "not-run" && $2 > 0' "$work/rows" | wc -l)" 0
}

run_deployment tulegenov zhetysu 16 20000 "tally:5 transfers:3 ledgers:3 brands:3" \
  --service tally:lookup --service transfers:write --service brands:lookup --service ledgers:large
run_deployment hanbit kr-capital 12 21000 "inventory:5 booking:3 patterns:3 dispatch:3" \
  --service inventory:lookup --service booking:write --service patterns:lookup --service dispatch:lookup
[ "$broken" = 0 ] && echo "all promises kept" || echo "a promise was broken"
exit "$broken"
