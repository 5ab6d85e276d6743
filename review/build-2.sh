#!/usr/bin/env bash
# Builds the stand-in of the second review's scripts into target/review-2. The proxy is built by the deploy file.
# What the cases share lies in review/6; review/7 is played by the same source as review/6.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-2/world2 \
  review/6/main.cpp review/6/forgottenposition.cpp review/8/resetorder.cpp review/9/abandonedvalues.cpp
