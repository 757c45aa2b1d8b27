#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the node.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for dir in review/6 review/7 review/8 review/9 review/10; do
  if [ -f "$dir/main.go" ]; then
    go build -o "review/bin/case-${dir#review/}" "./$dir"
  fi
done
