#!/bin/sh
# Lays what the bench wants beside a deployment next to the ones here, out of a folder of the bench that has it.
set -eu
from=$(cd "${1:?usage: lay.sh FOLDER (one of the bench's, with real.json, wire.json and unlock.txt)}" && pwd)
cd "$(dirname "$0")"
for name in real.json wire.json unlock.txt; do
    [ -f "$from/$name" ] || { echo "lay.sh: $from has no $name" >&2; exit 1; }
    ln -sf "$from/$name" "$name"
done
