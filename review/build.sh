#!/bin/sh
# Builds the stand-ins of the cases: they are Python, need the standard library alone and are only compiled here.
# The controllers are built by the `build` line of deploy/service.toml, which has to run before.
cd "$(dirname "$0")" && exec python3 -m compileall -q common 1 2 3
