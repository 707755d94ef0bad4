#!/usr/bin/env bash
# Compiles the stand-ins and the cases into review/standins/out, with the JDK alone.
set -eu
cd "$(dirname "$0")"
rm -rf standins/out
mkdir -p standins/out
javac -nowarn -Xlint:none -d standins/out standins/*.java [1-5]/*.java
