#!/bin/sh
# Builds what the scripts of review 3 start beside the programs of the deploy file. Their stand-ins are fleet-3.mjs and the
# case files, which Node runs as they are; this checks that it can read them.
set -e
cd "$(dirname "$0")"
for file in fleet-3.mjs 1[1-5]/case.mjs; do node --check "$file"; done
