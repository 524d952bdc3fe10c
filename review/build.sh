#!/bin/sh
# Builds the stand-ins that the cases start. Run it from any folder, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -tags review -o bin/ ./review/...
