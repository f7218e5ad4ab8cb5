#!/bin/sh
# Draws days from seeds, plays each on sites of one kind, and keeps those that break something.
#
#   days/hunt.sh [-j JOBS] [-o FOLDER] [-c] BENCH KIND "SITES" FIRST COUNT
#
#   BENCH     the bench's program
#   KIND      small, control or grown: which troubles and which budget the days are drawn for
#   SITES     site files of that kind, with blanks between them
#   FIRST     the first seed
#   COUNT     how many seeds
#   -j, -o, -c  as in days/play.sh
#
# `badgerstream-simulate` is taken from target/release, or from the variable BADGERSTREAM_SIMULATE. The drawn days stand in FOLDER/days, the broken
# ones in FOLDER/broken too.
set -eu

usage() {
    sed -n '2,/^$/s/^# \{0,1\}//p' "$0" >&2
    exit 2
}

here=$(cd "$(dirname "$0")" && pwd)
folder="" options=""
while getopts j:o:c flag; do
    case $flag in
    j) options="$options -j $OPTARG" ;;
    o) folder=$OPTARG ;;
    c) options="$options -c" ;;
    *) usage ;;
    esac
done
shift $((OPTIND - 1))
[ $# -eq 5 ] || usage
bench=$1 kind=$2 sites=$3 first=$4 count=$5
simulate=${BADGERSTREAM_SIMULATE:-$here/../target/release/badgerstream-simulate}
[ -n "$folder" ] || folder=$(mktemp -d)
mkdir -p "$folder/days" "$folder/broken"

seed=$first
while [ "$seed" -lt $((first + count)) ]; do
    "$simulate" day --site "$kind" --seed "$seed" >"$folder/days/drawn-$kind-$seed.toml"
    set -- "$@" "$folder/days/drawn-$kind-$seed.toml"
    seed=$((seed + 1))
done
shift 5

status=0
"$here/play.sh" $options -s own -o "$folder" "$bench" "$sites" "$@" >"$folder/all.tsv" || status=$?
awk -F '\t' '/BROKEN|NO REPORT/ { print $2 }' "$folder/all.tsv" | sort -u | while read -r day; do
    cp "$folder/days/$day.toml" "$folder/broken/"
done
grep 'BROKEN\|NO REPORT' "$folder/all.tsv" || echo "none of $count broken"
exit "$status"
