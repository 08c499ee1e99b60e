#!/bin/sh
# Prepares the cases: the stand-ins are Python scripts without dependencies, so they are only checked here.
cd "$(dirname "$0")" || exit 1
test -x ../target/release/shalespindle || { echo "run the build line of deploy/balancer.toml first" >&2; exit 1; }
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for script in lib/standin.py [0-9]/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script" || exit 1
done
