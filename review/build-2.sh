#!/usr/bin/env bash
# Compiles the stand-ins (review/6/kit, for all cases) and the cases of the second review into target/review-2, with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
find review/6 review/7 review/8 review/9 review/10 -name "*.java" 2>/dev/null >target/review-2/sources || true
javac -nowarn -Xlint:none -d target/review-2 @target/review-2/sources
