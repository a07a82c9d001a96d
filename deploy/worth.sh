#!/usr/bin/env bash
# Prints what reduced the worth of bench days: deploy/worth.sh REPORT.json...
# A report is the file that a run of the bench writes with --report. For each day: its
# worth, the loss by each part of the goal, and the largest prices. Then over all days:
# the means, the requests by kind, and those not served, by outcome of the last attempt.
set -euo pipefail
[ "$#" -gt 0 ] || { echo "usage: $0 REPORT.json..." >&2; exit 2; }

jq -rs --args '
  def r3: . * 1000 | round / 1000;
  def pad(n): tostring | . + (" " * ([n - length, 1] | max));
  def lost: [.parts[] | {name: .[0], lost: (.[1] * (1 - .[2]))}];
  . as $reports | ([., $ARGS.positional] | transpose) as $days
  | ($days[] | .[1] as $name | .[0]
    | ($name | sub(".*/"; "") | sub("\\.json$"; "") | pad(28))
      + "worth " + (.G | r3 | pad(7))
      + "lost: " + ([lost[] | select(.lost >= 0.001) | "\(.name) \(.lost | r3)"] | join(", "))
      + "; prices: " + ([.prices[] | select(.[2] >= 0.004) | "\(.[0]) \(.[2] | r3)"] | join(", "))
      + (if (.breaks | length) > 0 then "  BROKEN \(.breaks)" else "" end)),
  "",
  "mean worth \([.[].G] | add / length | r3) over \(length) days; mean loss by part:",
  ([.[] | lost[]] | group_by(.name)[] | "  " + (.[0].name | pad(20)) + ([.[].lost] | add | . / ($days | length) | r3 | tostring)),
  "mean price:",
  ([.[] | .prices[] | {name: .[0], price: .[2]}] | group_by(.name)[]
    | ([.[].price] | add / ($days | length)) as $p | select($p >= 0.0005) | "  " + (.[0].name | pad(44)) + ($p | r3 | tostring)),
  "requests by kind: asked, in time, late, refused, failed, not owed:",
  ([.[] | .classes[]] | group_by(.name)[]
    | "  " + (.[0].name | pad(20)) + ([([.[].n] | add), ([.[].in_aim] | add), ([.[].late] | add), ([.[].refused] | add), ([.[].failed] | add), ([.[].not_owed] | add)] | map(pad(7)) | join(""))),
  "not served, by outcome of the last attempt:",
  ([.[] | .unserved_by[]] | group_by(.[0])[] | "  " + (.[0][0] | pad(30)) + ([.[][1]] | add | tostring))
' "$@" < <(cat "$@")
