#!/usr/bin/env bash
# Installs, builds and shows the system at work: stand-ins of the platform and seven daemons in three failure domains,
# all plain processes on loopback. Prints one line per outcome and exits 0 only when all outcomes are right.
# Usage: scripts/demo.sh [--hold] [roshan|samvarp|both]
# With --hold the processes of a deployment go on running after its outcomes until Ctrl-C.
# With MASTICDRIFT_KEEP set, settings, logs and answers stay in the printed directory.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
ctl=$build/masticdriftctl

hold=
if [ "${1:-}" = --hold ]; then hold=yes; shift; fi
case ${1:-both} in
  roshan | samvarp) deployments=("$1") ;;
  both) deployments=(roshan samvarp) ;;
  *) echo "usage: scripts/demo.sh [--hold] [roshan|samvarp|both]" >&2; exit 2 ;;
esac

pids=()
dir=
failures=0
outcomes=0

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
  if [ -n "$dir" ] && [ -z "${MASTICDRIFT_KEEP:-}" ]; then rm -rf "$dir"; fi
  dir=
}
trap stop_all EXIT
trap 'exit 130' INT TERM

ok() { outcomes=$((outcomes + 1)); printf 'ok      %s\n' "$*"; }
failed() { outcomes=$((outcomes + 1)); failures=$((failures + 1)); printf 'FAILED  %s\n' "$*"; }
# outcome TEXT COMMAND...: the command decides.
outcome() {
  local text=$1
  shift
  if "$@"; then ok "$text"; else failed "$text"; fi
}
indent() { sed 's/^/          /' "$@"; }

# await SECONDS COMMAND...: repeats the command until it succeeds.
await() {
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.2
  done
}

has_line() { [ -s "$dir/$1.out" ]; }
# launch NAME PROGRAM ARGUMENT...: starts a process and waits for the JSON line with its ports.
launch() {
  local name=$1 program=$2
  shift 2
  "$build/$program" "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  pids+=($!)
  if ! await 15 has_line "$name"; then
    echo "$name did not start:" >&2
    tail -5 "$dir/$name.log" >&2
    exit 1
  fi
}
# port_of NAME MEMBER
port_of() { sed -n "s/.*\"$2\": *\([0-9][0-9]*\).*/\1/p" "$dir/$1.out"; }

# control NAME JSON: sends switches to a stand-in.
control() {
  curl -fsS -X POST -H 'Content-Type: application/json' -d "$2" \
    "http://127.0.0.1:$(port_of "$1" port)/control" >/dev/null
}
# register JSON-ENTRY...: adds entries to the stand-in of the instance list.
register() {
  local all
  all=$(IFS=,; echo "$*")
  control instances "{\"set\":[$all]}"
}

describe_roshan() {
  domains=(lahore-a faisalabad-b karachi-a)
  regions=(Punjab Punjab Sindh)
  pool=reorder-desk cores=16 memory=32768 accelerators=0
  interactive=reorder-check body='{"branch":"Mozang","cheque_book":"25 leaves"}'
  batch=print-batches team=punjab-rural service=ledger-watch-punjab
}
describe_samvarp() {
  domains=(sudvestur-a sudvestur-b nordaustur-a)
  regions=(Sudvestur Sudvestur Nordaustur)
  pool=lestur cores=32 memory=65536 accelerators=8
  interactive=clip-scores body='{"clip":"aefing-17","learner":"s-204"}'
  batch=lesson-reels team=sudurnes-skoli service=room-directory
}
counts=(3 2 2)    # daemons of each domain
upstreams=2       # executors, and workers, of each domain

start_standins() {
  local workers=(--cores "$cores" --memory-mb "$memory" --accelerators "$accelerators")
  local executors=(--slots 8 --connections 64)
  local domain n
  for domain in "${domains[@]}"; do
    for n in $(seq "$upstreams"); do
      workers+=(--worker "$domain-worker-$n")
      executors+=(--executor "$domain-executor-$n")
    done
  done
  launch log standin-log
  launch instances standin-instances
  launch worker standin-worker "${workers[@]}"
  launch executor standin-executor "${executors[@]}"
}

register_upstreams() {
  local i n common entries=()
  for i in "${!domains[@]}"; do
    for n in $(seq "$upstreams"); do
      common="\"domain\":\"${domains[i]}\",\"region\":\"${regions[i]}\",\"rack\":\"${domains[i]}-rack-1\",\"state\":\"live\""
      entries+=("{\"name\":\"${domains[i]}-executor-$n\",\"kind\":\"executor\",$common,\"pool\":\"$pool\",\"slots\":8,\"connections\":64,\"address\":\"127.0.0.1:$(port_of executor "${domains[i]}-executor-$n")\"}")
      entries+=("{\"name\":\"${domains[i]}-worker-$n\",\"kind\":\"worker\",$common,\"cores\":$cores,\"memory_mb\":$memory,\"accelerators\":$accelerators,\"address\":\"127.0.0.1:$(port_of worker port)/w/${domains[i]}-worker-$n\"}")
    done
  done
  register "${entries[@]}"
}

start_daemons() {
  local i n name list= any='{"address":"127.0.0.1","port":0}' hash
  hash=$(printf %s "$MASTICDRIFT_OPERATOR_KEY" | sha256sum | cut -d' ' -f1)
  for i in "${!domains[@]}"; do
    list+="${list:+,}{\"name\":\"${domains[i]}\",\"region\":\"${regions[i]}\"}"
  done
  daemons=()
  for i in "${!domains[@]}"; do
    for n in $(seq "${counts[i]}"); do
      name=${domains[i]}-$n
      cat >"$dir/$name.json" <<JSON
{
  "instance": {"name": "$name", "domain": "${domains[i]}", "region": "${regions[i]}"},
  "fleet": {"name": "$deployment", "entry_instances": 7, "domains": [$list]},
  "caller": $any,
  "operator": {"address": "127.0.0.1", "port": 0, "key_hashes": ["$hash"]},
  "peer": $any,
  "platform": {
    "log_url": "http://127.0.0.1:$(port_of log port)",
    "instances_url": "http://127.0.0.1:$(port_of instances port)"
  },
  "log_level": "info"
}
JSON
      launch "$name" masticdriftd --settings "$dir/$name.json"
      register "{\"name\":\"$name\",\"kind\":\"entry\",\"domain\":\"${domains[i]}\",\"region\":\"${regions[i]}\",\"rack\":\"$name\",\"state\":\"live\",\"address\":\"127.0.0.1:$(port_of "$name" peer_port)\"}"
      daemons+=("$name")
    done
  done
}

caller() { echo "http://127.0.0.1:$(port_of "$1" caller_port)"; }
operator() { echo "http://127.0.0.1:$(port_of "$1" operator_port)"; }

# Every domain has an owner with free slots and usable workers.
owned() {
  local name status owners=0
  for name in "${daemons[@]}"; do
    status=$("$ctl" status --json --server "$(operator "$name")" 2>/dev/null) || return 1
    if grep -q '"is_owner":true' <<<"$status" && grep -q '"free_slots":[1-9]' <<<"$status" &&
      grep -q '"usable_workers":[1-9]' <<<"$status"; then
      owners=$((owners + 1))
    fi
  done
  [ "$owners" -eq "${#domains[@]}" ]
}

submit_first() {
  "$ctl" config submit "examples/$deployment/configuration.json" --base-version 0 --author amina \
    --submission-id demo-1 --wait >"$dir/submit" 2>"$dir/submit.err"
}

# request_through DAEMON: the answer must be the one to this request.
request_through() {
  printf %s "$body" | "$ctl" request "$interactive" - --server "$(caller "$1")" \
    --request-id "demo-$1" >"$dir/request-$1" 2>"$dir/request-$1.err" &&
    grep -qF "$body" "$dir/request-$1"
}

# submit_job NAME JSON: sets $job.
submit_job() {
  printf %s "$2" >"$dir/$1.job"
  "$ctl" job submit "$batch" "$dir/$1.job" --request-id "$1" >"$dir/$1.answer" 2>&1 || { indent "$dir/$1.answer"; return 1; }
  job=$(awk '$1 == "id" { print $2 }' "$dir/$1.answer")
}
# in_state JOB STATE: asked at the last daemon, which did not accept it.
in_state() {
  "$ctl" job status "$1" --server "$(caller "${daemons[-1]}")" >"$dir/status" 2>&1 &&
    grep -qx "state $2" "$dir/status"
}
service_runs() { "$ctl" job list >"$dir/jobs" 2>&1 && grep "service\.$service" "$dir/jobs" | grep -q running; }

conflict() {
  local code=0
  "$ctl" config submit "examples/$deployment/configuration.json" --base-version 0 --author bashir \
    --server "$(operator "${daemons[-1]}")" >"$dir/conflict" 2>&1 || code=$?
  [ "$code" -eq 4 ] && grep -q MD-601 "$dir/conflict"
}
audited() {
  local line
  for line in "submit  *version 1 " "key_grant  *$key_id " "key_revoke  *$key_id "; do
    grep -q "amina  *$line" "$dir/audit" || return 1
  done
}
# burst: 30 requests at the same time through three daemons; each must get the answer to itself.
burst() {
  local i name running=() wrong=0
  for i in $(seq 30); do
    name=${daemons[i % 3 * 3]}
    printf 'burst %s.' "$i" | "$ctl" request "$interactive" - --server "$(caller "$name")" \
      --deadline-ms 5000 --request-id "burst-$i" >"$dir/burst-$i" 2>&1 &
    running+=($!)
  done
  wait "${running[@]}" || true
  for i in $(seq 30); do
    grep -q "burst $i\." "$dir/burst-$i" || { wrong=$((wrong + 1)); indent "$dir/burst-$i"; }
  done
  [ "$wrong" -eq 0 ]
}
# refused DAEMON: the daemon refuses the revoked key.
refused() {
  ! request_through "$1" && grep -q MD-203 "$dir/request-$1.err" && grep -q 'not run' "$dir/request-$1.err"
}

# Evidence of the stand-in: no worker was overcommitted, no task ran in two places.
workers_right() {
  curl -fsS "http://127.0.0.1:$(port_of worker port)/evidence" >"$dir/workers" &&
    ! grep -q '"overcommitted":true' "$dir/workers" && grep -q '"peak_copies":1' "$dir/workers"
}
peak() {
  curl -fsS "http://127.0.0.1:$(port_of executor port)/evidence" |
    grep -o "\"$1\": *[0-9]*" | grep -o '[0-9]*$' | sort -n | tail -1
}

run_demo() {
  deployment=$1
  "describe_$deployment"
  dir=$(mktemp -d "${TMPDIR:-/tmp}/masticdrift-demo-XXXXXX")
  printf '== %s: %s daemons in %s (files in %s)\n' "$deployment" 7 "${domains[*]}" "$dir"
  export MASTICDRIFT_OPERATOR_KEY=demo-operator-$RANDOM$RANDOM
  unset MASTICDRIFT_KEY
  start_standins
  register_upstreams
  # A request takes 200 ms at an executor, so that requests sent together overlap.
  control executor '{"service_ms":200}'
  start_daemons
  MASTICDRIFT_SERVER=$(caller "${daemons[0]}")
  MASTICDRIFT_OPERATOR_SERVER=$(operator "${daemons[0]}")
  export MASTICDRIFT_SERVER MASTICDRIFT_OPERATOR_SERVER

  outcome "configuration submitted at ${daemons[0]}, in force at all 7 daemons" await 30 submit_first
  indent "$dir/submit" "$dir/submit.err"
  outcome "every failure domain has one owner with free slots and workers" await 30 owned

  "$ctl" key new "$team" --author amina >"$dir/key" 2>&1 || true
  MASTICDRIFT_KEY=$(awk '$1 == "key" { print $2 }' "$dir/key")
  key_id=$(awk '$1 == "key_id" { print $2 }' "$dir/key")
  export MASTICDRIFT_KEY
  outcome "key $key_id created for team $team" test -n "$MASTICDRIFT_KEY"

  local name
  for name in "${daemons[0]}" "${daemons[3]}" "${daemons[6]}"; do
    # A key is in force everywhere within 5 s of its creation.
    outcome "request to $interactive through $name: the complete answer" await 6 request_through "$name"
    indent "$dir/request-$name"; echo
  done

  outcome "30 requests at the same time through three daemons: each got its own answer" burst

  job=
  if submit_job demo-batch '{"kind":"batch","tasks":4,"cores":1,"memory_mb":512,"run_ms":500}' &&
    await 20 in_state "$job" succeeded; then ok "batch $job of 4 tasks: succeeded"; else failed "batch $job"; fi
  if submit_job demo-gang '{"kind":"gang","tasks":3,"cores":2,"memory_mb":1024,"run_ms":500}' &&
    await 20 in_state "$job" succeeded; then ok "gang $job of 3 tasks: succeeded"; else failed "gang $job"; fi
  if submit_job demo-long '{"kind":"batch","tasks":2,"cores":1,"memory_mb":512,"run_ms":3600000}' &&
    await 20 in_state "$job" running && "$ctl" job cancel "$job" >"$dir/cancel" 2>&1 &&
    await 20 in_state "$job" cancelled; then ok "long job $job: running, then cancelled"; else failed "long job $job"; fi
  outcome "service $service of the configuration is running" await 30 service_runs
  indent "$dir/jobs"

  outcome "a second operator's submission on base version 0 is refused" conflict
  indent "$dir/conflict"

  "$ctl" key revoke "$key_id" --author amina >"$dir/revoke" 2>&1 || indent "$dir/revoke"
  outcome "key $key_id revoked: refused and not run at ${daemons[0]}" await 6 refused "${daemons[0]}"
  outcome "key $key_id revoked: refused and not run at ${daemons[6]}" await 6 refused "${daemons[6]}"
  indent "$dir/request-${daemons[6]}.err"

  "$ctl" audit >"$dir/audit" 2>&1 || true
  outcome "audit trail: submission, grant and revocation with author and object" audited
  indent "$dir/audit"

  local slots connections
  slots=$(peak peak_slots) connections=$(peak peak_connections)
  outcome "executors: at most ${slots:-?} slots (limit 8) and ${connections:-?} connections (limit 64) in use" \
    test "${slots:-99}" -le 8 -a "${connections:-99}" -le 64
  outcome "workers: none overcommitted, no task in two places" workers_right
  if [ -n "$hold" ]; then
    printf '\nrunning until Ctrl-C; for another shell:\n'
    printf 'export MASTICDRIFT_SERVER=%s\n' "$MASTICDRIFT_SERVER"
    printf 'export MASTICDRIFT_OPERATOR_SERVER=%s\n' "$MASTICDRIFT_OPERATOR_SERVER"
    printf 'export MASTICDRIFT_OPERATOR_KEY=%s\n' "$MASTICDRIFT_OPERATOR_KEY"
    sleep infinity &
    pids+=($!)
    wait $!
  fi
  stop_all
}

scripts/install-packages.sh
scripts/build.sh
for one in "${deployments[@]}"; do run_demo "$one"; done
printf '%s outcomes, %s failed\n' "$outcomes" "$failures"
[ "$failures" -eq 0 ]
