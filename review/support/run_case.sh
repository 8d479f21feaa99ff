# Runs one case: starts the stand-ins of a case, starts the gateway with the deploy file's `run`, waits for the stand-ins'
# verdict, and ends whatever was started. Sourced by each case's run.sh after it has set `stand_in`, and perhaps
# `operator_file`, the text of an operator's file.
set -u
root=$(cd "$here/../.." && pwd)
work=$(mktemp -d)
finish() {
  trap - EXIT INT TERM
  local pid
  for pid in $(jobs -rp) $(jobs -sp); do
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

command=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
[ -n "$command" ] && [ -x "$root/build/finchstile" ] && [ -x "$root/build/review/$stand_in" ] || {
  echo "build the gateway with the deploy file's build, and the stand-ins with review/build.sh" >&2
  exit 2
}
mkdir "$work/tmp"
: >"$here/record.txt"
"$root/build/review/$stand_in" "$work" "$here/record.txt" &
trial=$!
for _ in $(seq 100); do
  [ -e "$work/ready" ] && break
  kill -0 "$trial" 2>/dev/null || exit 2
  sleep 0.05
done
[ -e "$work/ready" ] || exit 2
if [ -n "${operator_file:-}" ]; then
  printf '%s\n' "$operator_file" >"$work/operator.toml"
  command="$command run --operator $work/operator.toml"
fi
(cd "$root" && LB_NAME=n1 LB_CONFIG="$work/config.json" TMPDIR="$work/tmp" exec /bin/sh -c "$command") 2>"$work/gateway.log" &
wait "$trial"
verdict=$?
[ "$verdict" -le 2 ] || verdict=2
exit "$verdict"
