#!/bin/sh
# Builds the stand-ins and drivers of the cases 11 to 15 into target/review-3; needs the JDK only.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac --release 17 -encoding UTF-8 -d target/review-3 review/harness-3/*.java
