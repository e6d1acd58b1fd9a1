#!/bin/sh
# Builds what the scripts of review/4 to review/8 start beside the deploy file's
# own build: the project's stand-in of the store, and the cases.
set -e
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target target/wpdirect target/wpstand
for n in 4 5 6 7 8; do
    [ -f "review/$n/case.c" ] || continue
    cc -O1 -g -Wall -Wextra -pthread -o "target/review-$n" review/rig.c "review/$n/case.c"
done
