#!/bin/sh
# Builds the stand-ins that the scripts of the review start. A case that is only a day needs
# none.
set -eu
cd "$(dirname "$0")/.."
