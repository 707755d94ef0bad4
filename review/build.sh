#!/usr/bin/env bash
# Compiles the stand-ins and the cases into target/review, with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -Xlint:none -d target/review review/*.java review/[1-5]/*.java
