#!/bin/sh
# Builds the stand-ins and the programs of the cases, which need nothing but the JDK.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/harness/*.java review/[0-9]*/*.java
