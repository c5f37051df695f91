#!/bin/sh
# Builds the stand-ins that the cases start: clients, servers and the platform's store.
set -eu
cd "$(dirname "$0")/standin"
go build -buildvcs=false -o ../bin/standin .
