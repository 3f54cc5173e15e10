#!/usr/bin/env bash
# Builds the stand-ins that the cases start: review/bin/site. Needs what the deploy build needs.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o bin/site site/main.cpp
