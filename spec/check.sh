#!/usr/bin/env bash
# Model-checks lease.pml. Usage: check.sh model|mutants
#
# Prints one line per run. Fails if a run of the model finds an error or does
# not complete, or if a mutant is not caught. At most JOBS runs execute in
# parallel.
set -euo pipefail
cd "$(dirname "$0")"

JOBS=${JOBS:-4}
MEMORY_MB=4000 # memory limit of one run
MAX_DEPTH=200000

# Each line consists of the name of a run and its preprocessor definitions.
MODEL='
three-nodes-faults -DN=3 -DMAXREV=3 -DRESTARTS=1 -DDEATHS=1
three-nodes-writes -DN=3 -DMAXREV=4 -DRESTARTS=0 -DDEATHS=0
two-nodes-restarts -DN=2 -DMAXREV=5 -DRESTARTS=2 -DDEATHS=0
fencing-endpoint -DN=2 -DMAXREV=4 -DRESTARTS=1 -DDEATHS=0 -DENDPOINT=0
unfenced-endpoint -DN=2 -DMAXREV=4 -DRESTARTS=1 -DDEATHS=0 -DENDPOINT=1
'

SMALL='-DN=2 -DMAXREV=3 -DRESTARTS=0 -DDEATHS=0'
MUTANTS="
no-lease-wait $SMALL -DNO_LEASE_WAIT
no-order-wait $SMALL -DENDPOINT=1 -DNO_ORDER_WAIT
no-pause-bound -DN=2 -DMAXREV=4 -DRESTARTS=0 -DDEATHS=0 -DENDPOINT=1 -DSHORT_ORDER_WAIT
no-fence $SMALL -DENDPOINT=0 -DNO_FENCE
no-read-back $SMALL -DNO_READ_BACK
no-token -DN=2 -DMAXREV=4 -DRESTARTS=0 -DDEATHS=0 -DNO_TOKEN
one-promise-of-two -DN=3 -DMAXREV=3 -DRESTARTS=0 -DDEATHS=0 -DONE_PROMISE
any-newcomer -DN=3 -DMAXREV=3 -DRESTARTS=0 -DDEATHS=0 -DANY_NEWCOMER
forgotten-promise $SMALL -DFORGET_PROMISE
extension-from-receipt $SMALL -DEXTEND_FROM_RECEIPT
no-wait-without-memory -DN=2 -DMAXREV=3 -DRESTARTS=1 -DDEATHS=0 -DNO_MEMORY_WAIT
revived-by-unsettled -DN=2 -DMAXREV=4 -DRESTARTS=0 -DDEATHS=0 -DREVIVE -DPROMISE_UNSETTLED
"

tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT

# search NAME DEFINITIONS... runs one search and writes its output to
# $tmp/NAME/pan.out.
search() {
  local dir=$tmp/$1
  shift
  mkdir "$dir"
  cp lease.pml "$dir"
  cd "$dir"
  spin -a "$@" lease.pml >spin.out 2>&1
  gcc -w -O2 -DSAFETY -DNOFAIR -DMEMLIM=$MEMORY_MB -o pan pan.c
  ./pan -m$MAX_DEPTH -w24 >pan.out 2>&1 || true
}

states() {
  awk '/states, stored/ { print $1 }' "$1"
}

# complete FILE succeeds if the search ended and reported no truncation.
complete() {
  grep -q 'errors: [0-9]' "$1" &&
    ! grep -qE 'max search depth too small|out of memory|Search not completed|memory limit|VECTORSZ' "$1"
}

checkModel() {
  local out=$tmp/$1/pan.out
  search "$@"
  if complete "$out" && grep -q 'errors: 0' "$out"; then
    printf 'ok        %-24s %s states, errors: 0\n' "$1" "$(states "$out")"
    return
  fi
  printf 'FAILED    %s\n' "$1"
  tail -n 30 "$out"
  return 1
}

checkMutant() {
  local out=$tmp/$1/pan.out
  search "$@"
  if grep -q 'assertion violated' "$out" && grep -q 'errors: 1' "$out"; then
    printf 'caught    %-24s %s states\n' "$1" "$(states "$out")"
    return
  fi
  printf 'SURVIVED  %s\n' "$1"
  return 1
}

# each FUNCTION LINES calls the function for each line, in parallel, and fails
# unless all calls succeeded.
each() {
  local name defs
  while read -r name defs; do
    [ -n "$name" ] || continue
    while [ "$(jobs -rp | wc -l)" -ge "$JOBS" ]; do
      wait -n || true
    done
    # shellcheck disable=SC2086
    ("$1" "$name" $defs && touch "$tmp/$name/ok") &
  done <<<"$2"
  wait
  while read -r name defs; do
    [ -z "$name" ] || [ -e "$tmp/$name/ok" ] || return 1
  done <<<"$2"
}

case ${1:-} in
model) each checkModel "$MODEL" ;;
mutants) each checkMutant "$MUTANTS" ;;
*)
  echo "usage: check.sh model|mutants" >&2
  exit 2
  ;;
esac
