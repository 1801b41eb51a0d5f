#!/bin/bash
# Builds the stand-ins of the review's scripts: they are Python, so compiling them is all there is.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review
