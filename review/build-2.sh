#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. Needs no network and no packages.
set -e
cd "$(dirname "$0")/rig-2"
exec cargo build --release --offline
