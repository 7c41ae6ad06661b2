#!/bin/bash
# Usage: examples/demo.sh BUILD_DIRECTORY
# Runs two example deployments at full size on one machine: 14 target hosts each, every host with one
# node and one target, a key-value service, and a configuration that two co-owners approve. Sends
# look-ups, writes and reads with large answers while one target drains and another is killed, and
# checks the results. Exit status: 1 if a check fails. Connections between failure domains have no
# network delay here.
set -u
build=$(realpath "$1")
examples=$(dirname "$(realpath "$0")")
work_dir=$(mktemp -d)
pids=()
failed_check=0

cleanup () {
  [ "${#pids[@]}" -gt 0 ] && kill "${pids[@]}" 2>/dev/null
  wait 2>/dev/null
  rm -rf "$work_dir"
}
trap cleanup EXIT

start () { # LOG COMMAND...
  local log=$1
  shift
  "$@" >"$log" 2>&1 &
  pids+=($!)
  # The demo kills processes on purpose; without disown the shell would report their end.
  disown
}

wait_for () { # DESCRIPTION COMMAND...
  local description=$1
  shift
  for _ in $(seq 200); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "demo: gave up waiting for $description" >&2
  tail -n 3 "$work_dir"/*.log >&2
  exit 1
}

check_equal () { # DESCRIPTION VALUE EXPECTED
  if [ "$2" = "$3" ]; then
    printf '  kept    %s: %s\n' "$1" "$2"
  else
    printf '  BROKEN  %s: %s, expected %s\n' "$1" "$2" "$3"
    failed_check=1
  fi
}

# Prints the sum of a metric over nodes.
metric_sum () { # NAME CONTROL-PORT...
  local name=$1
  shift
  for port in "$@"; do
    curl -s "http://127.0.0.1:$port/metrics"
  done | awk -v name="$name" 'index($1, name) == 1 && ($1 == name || substr($1, length(name) + 1, 1) == "{") { sum += $2 } END { print sum + 0 }'
}

public_key () { # NAME
  cat "$work_dir/$1.pub"
}

# Prints the settings of a node. The comment of run_deployment lists the ports.
node_settings () { # DEPLOYMENT REGION INDEX BASE SERVICE
  cat <<SETTINGS
node: {deployment: $1, name: $1-$5-$3, region: $2, failure_domain: $2-$(($3 % 3 + 1))}
listen:
  callers: 127.0.0.1:$(($4 + 100 + $3))
  peers: 127.0.0.1:$(($4 + 200 + $3))
  control: 127.0.0.1:$(($4 + 300 + $3))
contacts: ["127.0.0.1:$(($4 + 300))", "127.0.0.1:$(($4 + 301))", "127.0.0.1:$(($4 + 302))"]
store: 127.0.0.1:$4
routing: by-service
owners:
  - {name: first, public_key: $(public_key "$1-first")}
  - {name: second, public_key: $(public_key "$1-second")}
log: {level: info}
SETTINGS
}

# Returns success if COUNT nodes have revision 1 of the configuration. Works only for the first
# revision, because it compares COUNT with the sum of the revisions of all nodes.
has_revision () { # COUNT CONTROL-PORT...
  local count=$1
  shift
  [ "$(metric_sum siskingrade_config_revision "$@")" = "$count" ]
}

# Ports: BASE for the key-value service. The node INDEX listens on BASE + 100 + INDEX for callers,
# BASE + 200 + INDEX for peers and BASE + 300 + INDEX for control; its target on BASE + 400 + INDEX.
run_deployment () { # DEPLOYMENT REGION SLOTS BASE "SERVICE:COUNT..." CALLER-SERVICES...
  local name=$1 region=$2 slots=$3 base=$4 services=$5
  shift 5
  local ctl=("$build/siskingradectl" --node "127.0.0.1:$((base + 300))"
    --owners "$work_dir/$name-owners.yaml")
  local index=0 service count node_options=() control_ports=() target_pids=() started_ns

  echo "== $name"
  for owner in first second; do
    "$build/siskingradectl" keygen "$work_dir/$name-$owner" >/dev/null || exit 1
  done
  cat >"$work_dir/$name-owners.yaml" <<OWNERS
deployment: $name
owners:
  - {name: first, public_key: $(public_key "$name-first")}
  - {name: second, public_key: $(public_key "$name-second")}
OWNERS
  start "$work_dir/$name-store.log" "$build/standin-store" --listen "127.0.0.1:$base"
  for service_size in $services; do
    service=${service_size%:*}
    count=${service_size#*:}
    for _ in $(seq "$count"); do
      node_settings "$name" "$region" "$index" "$base" "$service" >"$work_dir/$name-$index.yaml"
      start "$work_dir/$name-node-$index.log" "$build/siskingraded" "$work_dir/$name-$index.yaml"
      start "$work_dir/$name-target-$index.log" "$build/standin-target" \
        --listen "127.0.0.1:$((base + 400 + index))" \
        --announce "127.0.0.1:$((base + 300 + index))" --service "$service" --slots "$slots" \
        --seed "$index" --execution-log "$work_dir/$name-executions"
      target_pids[index]=${pids[-1]}
      node_options+=(--node "127.0.0.1:$((base + 100 + index))")
      control_ports+=($((base + 300 + index)))
      index=$((index + 1))
    done
  done
  wait_for "$name: members" has_members "$index" "${control_ports[@]}"

  "${ctl[@]}" --owner first --key "$work_dir/$name-first.key" --id initial create \
    "$examples/$name.yaml" || exit 1
  check_equal "not in force with one approval" "$(metric_sum siskingrade_config_revision "${control_ports[@]}")" 0
  started_ns=$(date +%s%N)
  "${ctl[@]}" --owner second --key "$work_dir/$name-second.key" approve initial || exit 1
  wait_for "$name: configuration" has_revision "$index" "${control_ports[@]}"
  echo "  in force at all $index nodes after $((($(date +%s%N) - started_ns) / 1000000)) ms"

  # While calls run, target 0 drains and target 6 is killed. Target 0 belongs to the first service
  # of the deployment, target 6 to the second, which receives the writes.
  ( sleep 3
    curl -s -X POST "http://127.0.0.1:$((base + 400))/admin/drain" >/dev/null
    sleep 2
    kill -9 "${target_pids[6]}" ) &
  local fault_injector=$!
  "$build/standin-caller" "${node_options[@]}" "$@" --rate 200 --seconds 10 --seed "$base" \
    --report "$work_dir/$name-writes" | tee "$work_dir/$name-table"
  check_equal "answers whole and of their own call (exit status of the callers)" "${PIPESTATUS[0]}" 0
  wait "$fault_injector" 2>/dev/null
  check_executions "$name"
  "${ctl[@]}" status
  local sent failed bytes
  sent=$(metric_sum siskingrade_probe_calls_total "${control_ports[@]}")
  failed=$(metric_sum siskingrade_probe_failures_total "${control_ports[@]}")
  bytes=$(metric_sum siskingrade_probe_bytes_total "${control_ports[@]}")
  echo "  measuring: $sent probes, $bytes bytes, $failed failed"
  echo
}

# Returns success if every node knows COUNT members.
has_members () { # COUNT CONTROL-PORT...
  local count=$1
  shift
  [ "$(metric_sum siskingrade_members "$@")" = "$((count * $#))" ]
}

check_executions () { # DEPLOYMENT
  local writes="$work_dir/$1-writes" executions="$work_dir/$1-executions"
  if [ ! -s "$writes" ] || [ ! -s "$executions" ]; then
    check_equal "writes and executions recorded" no yes
    return
  fi
  # Writes one line "OUTCOME EXECUTIONS" for each write to the file rows.
  sort "$executions" | uniq -c | awk '{ print $2, $1 }' >"$work_dir/counts"
  awk -v counts="$work_dir/counts" 'BEGIN { while ((getline line < counts) > 0) { split(line, f, " "); n[f[1]] = f[2] } }
    { print $2, n[$1] + 0 }' "$writes" >"$work_dir/rows"
  echo "  writes: $(wc -l <"$work_dir/rows"), executions of them: $(awk '{ sum += $2 } END { print sum }' "$work_dir/rows")"
  check_equal "writes that ran twice" "$(awk '$2 > 1' "$work_dir/rows" | wc -l)" 0
  check_equal "complete writes that did not run once" "$(awk '$1 == "complete" && $2 != 1' "$work_dir/rows" | wc -l)" 0
  check_equal "writes reported as not run that ran" "$(awk '$1 == "not-run" && $2 > 0' "$work_dir/rows" | wc -l)" 0
}

run_deployment tulegenov zhetysu 16 20000 "tally:5 transfers:3 ledgers:3 brands:3" \
  --service tally:lookup --service transfers:write --service brands:lookup --service ledgers:large
run_deployment hanbit kr-capital 12 21000 "inventory:5 booking:3 patterns:3 dispatch:3" \
  --service inventory:lookup --service booking:write --service patterns:lookup --service dispatch:lookup
[ "$failed_check" = 0 ] && echo "all promises kept" || echo "a promise was broken"
exit "$failed_check"
