#!/bin/sh
# Builds the stand-in that the scripts start. The deploy file's build has to have run.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin ./review/_standin
