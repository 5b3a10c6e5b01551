#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
ROOT=$PWD
export ROOT
rig=review/rig-2/target/release/review-rig-2
[ -x "$rig" ] && [ -x target/release/madderbay ] || exit 2
exec "$rig" kept-break review/6
