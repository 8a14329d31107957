#!/bin/sh
# Builds the stand-ins that the scripts start. It needs the Go tool chain alone: the module has no dependencies.
set -e
cd "$(dirname "$0")/rig"
mkdir -p ../bin
go build -o ../bin/rig .
