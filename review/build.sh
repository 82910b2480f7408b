#!/usr/bin/env bash
# Builds what the scripts start beside the product: the stand-ins of clients, servers and the platform,
# into review/.bin. The store is the project's own stand-in. The build tag keeps them out of the default
# build and tests.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/.bin
go build -buildvcs=false -tags review -o review/.bin/rig ./review
