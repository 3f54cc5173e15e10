#!/usr/bin/env bash
# Builds what the cases 4 to 8 start besides the controller (target/barrowrun, by the build of the deploy file): the
# project's own worker and command line. The other stand-ins are Python and need no build.
set -e
cd "$(dirname "$(realpath "$0")")/.."
cmake -S . -B build-review-2 -DCMAKE_BUILD_TYPE=Release -DBARROWRUN_TOOLS=ON
cmake --build build-review-2 -j8 --target barrowrun-worker barrowctl
