#!/bin/bash
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file: compiles them. They use the standard
# library alone and bring their own stand-ins of the state service, the cloud, the workers and the users.
set -eu
cd "$(dirname "$0")/.."
python3 -X pycache_prefix=target/pycache -m compileall -q review/common2 review/4 review/5 review/6 review/7 review/8
