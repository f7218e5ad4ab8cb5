#!/bin/sh
# Plays days on sites with several seeds and prints one line for each run, the broken ones marked.
#
#   days/play.sh [-j JOBS] [-s "SEEDS"] [-o FOLDER] [-c] BENCH "SITES" DAY...
#
#   BENCH     the bench's program
#   SITES     site files, with blanks between them
#   DAY       days, as TOML files
#   -j JOBS   runs at once (4)
#   -s SEEDS  seeds, with blanks between them ("1 2 3"); `own` is the one that stands in the day
#   -o FOLDER where output and report of each run are kept (a new folder among the temporary files)
#   -c        charge the processor's time (left out otherwise)
#
# A run is broken if a rule or the gate is, if an order had no acknowledgement, if a process ended by itself or a duty was
# missed. The last two columns are the score that the bench would give without broken rules, and for how many seconds on end less
# than 0.6 of what was owed was earned. Ends with 1 if any run was broken or gave no report. Needs jq.
set -eu

usage() {
    sed -n '2,/^$/s/^# \{0,1\}//p' "$0" >&2
    exit 2
}

# One run; the report's figures as one line: site, day, seed, verdict, score, seconds of little service on end.
play_one() {
    bench=$1 folder=$2 option=$3 seed=$4 site=$5 day=$6
    site_name=$(basename "$site" .toml)
    day_name=$(basename "$day" .toml)
    run="$folder/$site_name--$day_name--$seed"
    [ "$seed" = own ] || option="$option --seed $seed"
    # shellcheck disable=SC2086 # the options are words
    "$bench" run "$site" "$day" --jobs 1 $option --report "$run.json" \
        --why "days/play.sh: $day_name" >"$run.txt" 2>&1 || true
    if [ -s "$run.json" ]; then
        figures=$(jq -r "$FIGURES" "$run.json")
    else
        figures=$(printf 'NO REPORT: %s\t-\t-' "$(tail -n 1 "$run.txt")")
    fi
    printf '%s\t%s\t%s\t%s\n' "$site_name" "$day_name" "$seed" "$figures"
}

# Verdict, score, seconds of little service on end, of one report.
FIGURES='
    [ (.breaks | to_entries[] | "\(.key) \(.value)"),
      (.fault // empty | "fault: \(.)"),
      (.short[]? | "gate: \(.)"),
      (.missed[]? | "missed: \(.)"),
      (if .exits_n > 0 then "ended by itself: \(.exits_n)" else empty end) ] as $broken
    | (reduce .windows[] as $window ({ now: 0, most: 0 };
        if $window.n > 50 and $window.worth < 0.6
        then .now += 2 | .most = ([.most, .now] | max)
        else .now = 0 end)) as $gap
    | [ (if $broken == [] then "holds" else "BROKEN: " + ($broken | join("; ")) end), .G, $gap.most ]
    | @tsv'

if [ "${1:-}" = --one ]; then
    shift
    play_one "$@"
    exit
fi

jobs=4 seeds="1 2 3" folder="" option=--no-cpu
while getopts j:s:o:c flag; do
    case $flag in
    j) jobs=$OPTARG ;;
    s) seeds=$OPTARG ;;
    o) folder=$OPTARG ;;
    c) option="" ;;
    *) usage ;;
    esac
done
shift $((OPTIND - 1))
[ $# -ge 3 ] || usage
bench=$1 sites=$2
shift 2
[ -n "$folder" ] || folder=$(mktemp -d)
mkdir -p "$folder"
echo "outputs and reports: $folder" >&2

# Seeds change slowest, so that each day has been played once early on.
for seed in $seeds; do
    for day in "$@"; do
        for site in $sites; do
            printf '%s\0%s\0%s\0' "$seed" "$site" "$day"
        done
    done
done | xargs -0 -n 3 -P "$jobs" "$0" --one "$bench" "$folder" "$option" | tee "$folder/table.tsv"
! grep -q 'BROKEN\|NO REPORT' "$folder/table.tsv"
