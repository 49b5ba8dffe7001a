#!/usr/bin/env bash
# Plays every day of findings.txt again; ends with 1 if a rule is broken or a day could
# not be played.
# Usage: scripts/findings.sh PATH-OF-FLEETBENCH FOLDER-OF-DEPLOYMENTS
set -u
bench=$1
sites=$2
here=$(dirname "$0")
broken=0
while read -r site day seed; do
  options=()
  [ -z "${seed:-}" ] || options=(--seed "$seed")
  output=$("$bench" run "$sites/$site.toml" "$day" "${options[@]}" --why "findings again" 2>&1)
  if grep -q '^rules broken' <<< "$output"; then
    broken=1
    echo "broken: $site $day ${seed:-}"
    grep -A3 '^rules broken' <<< "$output"
  elif ! grep -q '^snapshot' <<< "$output"; then
    broken=1
    echo "not played: $site $day ${seed:-}"
    tail -3 <<< "$output"
  else
    echo "held: $site $day ${seed:-}"
  fi
done < "$here/findings.txt"
exit "$broken"
