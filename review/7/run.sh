#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/canvasrouter ] && [ -x review/bin/case-7 ] || { echo "not built: deploy file, review/build-2.sh"; exit 2; }
CASE=review/7 exec review/bin/case-7
