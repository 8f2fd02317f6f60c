#!/bin/sh
# After the build of the deploy file: compiles the stand-ins of the cases 6 to 10. They need nothing else.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || exit 2
exec .venv/bin/python -m compileall -q review/common_2.py review/6 review/7 review/8 review/9 review/10
