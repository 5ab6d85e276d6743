#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2. The proxy is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -o target/review-2/world2 review/standin-2/*.cpp -lpthread
