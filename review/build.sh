#!/bin/sh
# Builds the stand-ins and the cases: one program without dependencies, so no network is needed.
set -eu
cd "$(dirname "$0")/rig"
exec cargo build --release --offline
