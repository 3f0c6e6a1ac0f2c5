#!/usr/bin/env bash
# Measures what each entry VM's process costs, in separate processes on loopback:
#   tools/measure-vms.sh VMS WORKERS SHARDS TASKS SECONDS
# `chestnutlug bench node` tells bytes apart by destination; this one measures resident memory, which
# only processes of their own show.
# TASKS long-running tasks are placed first. Prints one line: the share of a core, resident
# memory and bytes a second of a VM, on average and at the most, and the platform's use.
set -euo pipefail
vms=$1 workers=$2 shards=$3 tasks=$4 seconds=$5
bin=${CHESTNUTLUG:-target/release/chestnutlug}
dir=$(mktemp -d)
pids=()
finish() { kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$dir"; }
trap finish EXIT

start() { "$bin" "${@:2}" >"$dir/$1.out" 2>"$dir/$1.err" & pids+=($!); started=$!; }
address() { # FILE WORD
  for _ in $(seq 200); do
    a=$(awk -v w="$2" '$1 == w {print $2; exit}' "$dir/$1.out" 2>/dev/null)
    [ -n "$a" ] && { echo "$a"; return; }
    sleep 0.05
  done
  echo "no $2 in $1" >&2; exit 1
}

echo "0123456789abcdef-measured" >"$dir/secret"
mkdir "$dir/cell"
start platform standin platform --listen 127.0.0.1:0; platform=$(address platform listening)
{
  echo '[team.t]'; echo 'balance_core_hours = 1000000'
  echo '[kind.k]'; echo 'urgency = "urgent"'
} >"$dir/cell/10.toml"
for ((i = 1; i <= workers; i++)); do
  start "w$i" standin worker --listen 127.0.0.1:0 --name "w$i"
done
for ((i = 1; i <= workers; i++)); do
  printf '[worker.w%d]\nshard = "s%d"\nzone = "z%d"\nrack = "r%d"\naddress = "%s"\ncapacity = { cpu_milli = 16000, memory_mib = 65536 }\n' \
    "$i" $((i % shards)) $((i % 3)) $((i / 8)) "$(address "w$i" listening)"
done >"$dir/cell/20.toml"
"$bin" config apply "$dir/cell" --platform "$platform" >/dev/null
vm_pids=()
for ((i = 1; i <= vms; i++)); do
  cat >"$dir/s$i.toml" <<X
vm = "vm-$i"
zone = "z$((i % 3))"
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operators = "127.0.0.1:0"
platform = "$platform"
secret_file = "$dir/secret"
log = "warn"
X
  start "vm$i" serve --settings "$dir/s$i.toml"; vm_pids+=("$started")
done
callers=$(address vm1 callers)
sleep 4
if ((tasks > 0)); then
  body=$(printf '{"team":"t","kind":"k","idempotent":true,"tasks":%d,"resources":{"cpu_milli":100,"memory_mib":64},"expected_ms":3600000,"payload":"{\\"run_ms\\":3600000}"}' 50)
  for ((i = 0; i < tasks / 50; i++)); do
    curl -sf -m 20 "http://$callers/v1/jobs" -d "$body" >/dev/null
  done
  sleep 5
fi
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
lo() { awk '$1 == "lo:" {print $2}' /proc/net/dev; }
counters() { curl -sf "http://$platform/counters"; }
before=(); for p in "${vm_pids[@]}"; do before+=("$(ticks "$p")"); done
bytes0=$(lo); c0=$(counters)
sleep "$seconds"
bytes1=$(lo); c1=$(counters)
hz=$(getconf CLK_TCK)
sum=0 most=0 rss_most=0
for ((i = 0; i < vms; i++)); do
  used=$(($(ticks "${vm_pids[$i]}") - before[i]))
  sum=$((sum + used)); ((used > most)) && most=$used
  rss=$(awk '$1 == "VmRSS:" {print $2}' "/proc/${vm_pids[$i]}/status"); ((rss > rss_most)) && rss_most=$rss
done
python3 - "$vms" "$workers" "$shards" "$tasks" "$seconds" "$hz" "$sum" "$most" "$rss_most" "$((bytes1 - bytes0))" "$c0" "$c1" <<'PY'
import json, sys
vms, workers, shards, tasks, seconds, hz, total, most, rss, lo = map(int, sys.argv[1:11])
a, b = json.loads(sys.argv[11]), json.loads(sys.argv[12])
rate = lambda key: (b[key] - a[key]) / seconds
print(f"vms={vms} workers={workers} shards={shards} tasks={tasks} "
      f"cpu_avg={100 * total / hz / seconds / vms:.2f}% cpu_most={100 * most / hz / seconds:.2f}% "
      f"rss_most={rss / 1024:.1f}MB lo_per_vm={lo / seconds / vms:.0f}B/s "
      f"writes={rate('transactions'):.1f}/s reads={rate('reads'):.1f}/s rows_read={rate('rows_read'):.0f}/s")
PY
