# Functions that start the stand-in and three proxies on loopback. Sourced by scripts/demo and scripts/load,
# which run in the repository's root and set `deployment` to paalisoft or openraad before start_fleet.
# RH_DEMO_PORT is the first of the ports (default 7400).
# shellcheck shell=bash

bin=$PWD/build/release/bin
base=${RH_DEMO_PORT:-7400}
dir=$(mktemp -d /tmp/rosemaryhinge.XXXXXX)
platform=127.0.0.1:$base
declare -A pids=()

callers() { echo "127.0.0.1:$((base + 20 + $1))"; }
peers() { echo "127.0.0.1:$((base + 30 + $1))"; }
admin() { echo "127.0.0.1:$((base + 40 + $1))"; }

# start NAME COMMAND...: runs a process in the background with its output in files of that name.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  pids[$name]=$!
}

# stop NAME: asks a process that this script started to end, and gives its exit code. Kills it after 30 s.
stop() {
  local pid=${pids[$1]:-} n=0
  [ -n "$pid" ] || return 1
  unset "pids[$1]"
  kill -TERM "$pid" 2>/dev/null
  while kill -0 "$pid" 2>/dev/null && ((n++ < 300)); do sleep 0.1; done
  if kill -0 "$pid" 2>/dev/null; then
    kill -KILL "$pid"
    echo "$1 did not end within 30 s" >&2
  fi
  wait "$pid"
}

# Stops what still runs, the proxies before the stand-in that they need for a graceful end.
cleanup() {
  local name
  for name in load n3 n2 n1 standin; do
    [ -z "${pids[$name]:-}" ] || stop "$name" >/dev/null 2>&1
  done
}

# within SECONDS COMMAND...: repeats a command until it succeeds.
within() {
  local until=$((SECONDS + $1))
  shift
  until "$@"; do
    ((SECONDS < until)) || return 1
    sleep 0.2
  done
}

ready() { curl -s -m 2 -o /dev/null -f "http://$(admin "$1")/readyz"; }

# Sets zones and regions, one per proxy, from 1.
place() {
  if [ "$deployment" = openraad ]; then
    zones=('' noord-gron randstad-utr zuid-ein)
    regions=('' noord randstad zuid)
  else
    zones=('' etela-a lansi-a pohjoinen-a)
    regions=('' etela lansi pohjoinen)
  fi
}

settings_file() {
  cat <<END
node: n$1
region: ${regions[$1]}
availability_zone: ${zones[$1]}
addresses:
  callers: $(callers "$1")
  peers: $(peers "$1")
  admin: $(admin "$1")
platform: http://$platform
seeds:
  - {node: n1, address: "$(peers 1)"}
  - {node: n2, address: "$(peers 2)"}
  - {node: n3, address: "$(peers 3)"}
log: {format: key_value, level: info}
END
}

deployment_file() {
  cat <<END
deployment: $deployment
port: $base
settings: $PWD/scripts/settings/$deployment.yaml
vms: [n1, n2, n3]
END
}

# Starts the stand-in and three proxies, and waits until the proxies are ready.
start_fleet() {
  place
  deployment_file >"$dir/deployment.yaml"
  start standin "$bin/rosemaryhinge-standin" --config "$dir/deployment.yaml"
  within 10 curl -s -o /dev/null "http://$platform/stats" || return 1
  # Another process may answer on the port.
  kill -0 "${pids[standin]}" || return 1
  for n in 1 2 3; do
    settings_file "$n" >"$dir/n$n.yaml"
    start "n$n" "$bin/rosemaryhinged" --settings "$dir/n$n.yaml"
  done
  for n in 1 2 3; do within 20 ready "$n" || return 1; done
}
