#!/usr/bin/env bash
# Measures the time from a manifest's acceptance to its being in force on all
# routers: real processes on loopback, a number of one-organisation changes.
# Usage: scripts/inforce.sh [ROUTERS] [CHANGES] [restart]
#   restart: a third of the routers is killed and started again meanwhile.
# Needs the release binaries (cargo build --release). Ends with 1, and says
# which routers and why, if a change is not in force everywhere in time.
set -euo pipefail
routers=${1:-24}; changes=${2:-10}; mode=${3:-plain}
root=$(cd "$(dirname "$0")/.." && pwd)
bin=${BIN:-$root/target/release}
work=$(mktemp -d); cd "$work"
pids=()
declare -A router_pid
finish() {
  exec 2>/dev/null
  for pid in "${pids[@]}" "${router_pid[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT
"$bin/guavawell-standin" platform --listen 127.0.0.1:19000 --control 127.0.0.1:19001 >platform.log 2>&1 & pids+=($!)
sleep 0.5
ctl() { "$bin/guavawell-ctl" --platform 127.0.0.1:19000 "$@"; }
manifest() {
  echo '[fleet]'; echo 'shards = 12'; echo 'zones = ["zone-0", "zone-1", "zone-2"]'
  for o in 0 1 2 3 4 5 6 7 8 9; do
    printf '[[organisation]]\nid = "org-%s"\nkey_hash = "%064x"\ndefault_budget = "budget-%s"\n' "$o" "$((o + 1))" "$o"
    printf '[[budget]]\nid = "budget-%s"\norganisation = "org-%s"\npaid = %s\n' "$o" "$o" "$((1000 + $1))"
  done
}
manifest 0 > m0.toml
ctl manifest apply m0.toml --base 0 >/dev/null
start() {
  i=$1; base=$((20000 + i * 4))
  cat > "r$i.toml" <<TOML
[instance]
id = "router-$i"
zone = "zone-$((i % 3))"
[callers]
listen = "127.0.0.1:$base"
plain_loopback = true
[operators]
listen = "127.0.0.1:$((base + 1))"
plain_loopback = true
[peers]
listen = "127.0.0.1:$((base + 2))"
plain_loopback = true
[gossip]
listen = "127.0.0.1:$((base + 3))"
keys = ["a key for the measurement"]
seeds = ["127.0.0.1:20003", "127.0.0.1:20007"]
[platform]
table = "127.0.0.1:19000"
objects = "127.0.0.1:19000"
instances = "127.0.0.1:19000"
[log]
level = "error"
TOML
  "$bin/guavawell-router" --settings "r$i.toml" --threads 1 >"r$i.log" 2>&1 & router_pid[$i]=$!
}
# A killed process keeps its ports until it is gone: a router that starts
# before finds its address in use, and ends.
restart() {
  kill -9 "${router_pid[$1]}"
  wait "${router_pid[$1]}" 2>/dev/null || true
  start "$1"
}
# Routers that ended by themselves, with their last words.
ended() {
  for ((i = 0; i < routers; i++)); do
    kill -0 "${router_pid[$i]}" 2>/dev/null || echo "router-$i has ended: $(tail -n 1 "r$i.log")"
  done
}
for ((i = 0; i < routers; i++)); do start "$i"; done
sleep 8
: > times
missed=0
for ((c = 1; c <= changes; c++)); do
  manifest "$c" > m.toml
  accepted=$(date +%s%3N)
  ctl manifest apply m.toml --base "$c" >/dev/null
  if [ "$mode" = restart ]; then
    for ((i = 0; i < routers; i += 3)); do restart "$i"; done
  fi
  n=none
  for _ in $(seq 100); do
    sleep 0.2
    ctl manifest show --json > show.json 2>/dev/null || continue
    n=$(python3 - "$((c + 1))" "$accepted" "$routers" <<'PY'
import json, sys
version, accepted, routers = map(int, sys.argv[1:4])
show = json.load(open("show.json"))
rows = show.get("instances", [])
done = [r for r in rows if r.get("runs", r.get("version")) == version and isinstance(r.get("since"), int)]
if len(done) >= routers:
    open("times", "a").write("".join(f"{max(0, r['since'] - accepted)}\n" for r in done))
    print("all")
PY
)
    [ "$n" = all ] && break
  done
  if [ "$n" != all ]; then
    missed=$((missed + 1))
    echo "change $c is not in force everywhere after $(($(date +%s%3N) - accepted)) ms:"
    python3 - "$((c + 1))" <<'PY'
import json, sys
for row in json.load(open("show.json")).get("instances", []):
    if row.get("version") != int(sys.argv[1]):
        print(" ", row["instance"], row.get("version"), row.get("state"))
PY
    ended
  fi
done
sort -n times | awk -v c="$changes" -v r="$routers" -v m="$mode" '{ t[NR] = $1 }
  END { if (NR == 0) { print "no change came into force everywhere"; exit 1 }
        printf "%d routers, %d changes (%s): %d samples, median %d ms, 99%% %d ms, max %d ms\n",
        r, c, m, NR, t[int((NR + 1) / 2)], t[int(NR * 0.99 + 0.5) < 1 ? 1 : int(NR * 0.99 + 0.5)], t[NR] }'
[ "$missed" = 0 ]
