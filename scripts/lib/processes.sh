# shellcheck shell=bash disable=SC2154,SC2034
# Functions that start, stop and inspect daemons and stand-in targets on loopback. To be sourced
# after the binaries have been built. The sourcing script sets:
#   bin           folder of the binaries
#   work          folder for logs and data folders
#   port_pattern  printf format of a port, with the daemon number and the port kind as arguments:
#                 1 callers, 2 operators, 3 daemons, 4 target of the daemon
#   daemons       numbers of the daemons that in_force and directory_complete check
declare -a daemon_pid=() target_pid=()
failures=0

# Kills all processes started by the script that are still running.
stop_all() {
  local pid
  for pid in $(jobs -rp); do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

# Stops all processes. Keeps the logs when a check or the script has failed.
cleanup() {  # exit code of the script, by default that of the last command
  local status=${1:-$?}
  stop_all
  if [ "$failures" -eq 0 ] && [ "$status" -eq 0 ]; then rm -rf "$work"; else echo "logs: $work"; fi
}

address() {  # daemon number, port kind
  # shellcheck disable=SC2059
  printf "127.0.0.1:$port_pattern" "$1" "$2"
}

control_addresses() {  # port kind; prints the addresses of control members 1 to 3
  echo "$(address 1 "$1"),$(address 2 "$1"),$(address 3 "$1")"
}

start_daemon() {  # daemon number, extra flags
  local n=$1; shift
  "$bin/teaseljunctiond" --daemon_id="d$n" --data_centre="dc$n" --listen="$(address "$n" 1)" \
    --operators_listen="$(address "$n" 2)" --rpc_listen="$(address "$n" 3)" \
    --control_peers="$(control_addresses 3)" --log_file="$work/d$n.log" "$@" >>"$work/d$n.out" 2>&1 &
  daemon_pid[n]=$!
}

start_target() {  # daemon number, service, extra flags
  local n=$1 service=$2; shift 2
  "$bin/teaseljunction-standin" --listen="$(address "$n" 4)" --service="$service" --slots=16 \
    --service_time=5ms --daemon="$(address "$n" 1)" "$@" >>"$work/t$n.out" 2>&1 &
  target_pid[n]=$!
}

check() {  # description, expected, actual
  local verdict=ok
  if [ "$2" != "$3" ]; then verdict=DIFFERS; failures=$((failures + 1)); fi
  printf '%-62s %-22s %-22s %s\n' "$1" "$2" "$3" "$verdict"
}

status_of() {  # curl arguments; writes the body of the response to $work/body
  curl -s -o "$work/body" -w '%{http_code}' --max-time 10 "$@" || true
}

# Repeats a command until it succeeds. Returns 1 when the time is over.
wait_for() {  # seconds, command...
  local limit=$((SECONDS + $1)); shift
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$limit" ]; then return 1; fi
    sleep 0.1
  done
}

daemon_status() {  # daemon number
  curl -s --max-time 2 "http://$(address "$1" 2)/teaseljunction/v1/status"
}

# Succeeds when the version is in force and fresh on all daemons.
in_force() {  # version
  local n
  for n in "${daemons[@]}"; do
    [ "$(daemon_status "$n" | jq -r '"\(.manifestVersion) \(.fresh)"')" = "$1 true" ] || return 1
  done
}

# Succeeds when all daemons know this number of targets.
directory_complete() {  # number of targets
  local n
  for n in "${daemons[@]}"; do
    [ "$(daemon_status "$n" | jq '[.directory[] | select(.service != "")] | length')" = "$1" ] || return 1
  done
}
