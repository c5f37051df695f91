#!/bin/sh
# Builds the stand-ins of the third review into target/, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin-3 ./review/_standin-3
