#!/bin/sh
# Runs the focused tests, then (unless told "unit") every scenario, and ends
# with "N passed, N failed".
cd "$(dirname "$0")/.." || exit 2
BUILD=${BUILD:-build}
passed=0
failed=0
for t in "$BUILD"/test_*; do
    case $t in *.d | *.o) continue ;; esac
    [ -x "$t" ] || continue
    out=$(CMOCKA_MESSAGE_OUTPUT=stdout WP_BIN=$BUILD "$t" 2>&1)
    code=$?
    n=$(echo "$out" | grep -c '^\[       OK \]')
    bad=$(echo "$out" | sed -n 's/^\[  FAILED  \] \([0-9]*\) test(s), listed.*/\1/p')
    [ -z "$bad" ] && bad=0
    [ "$code" -ne 0 ] && [ "$bad" = 0 ] && bad=1
    passed=$((passed + n))
    failed=$((failed + bad))
    echo "$(basename "$t"): $n passed, $bad failed"
    [ "$code" -eq 0 ] || echo "$out" | grep -vE '^\[ (RUN|      OK)' | head -40
done
if [ "$1" != unit ]; then
    seeds=$(sed -n 's/^\([0-9][0-9]*\) .*/\1/p' tests/soak-cases.txt | paste -sd,)
    out=$(WP_BIN=$BUILD "$BUILD/wpsoak" --seconds 4 --seeds "$seeds" 2>&1)
    echo "$out" | sed 's/^/soak: /'
    n=$(echo "$out" | sed -n 's/^\([0-9]*\) passed, [0-9]* failed$/\1/p')
    bad=$(echo "$out" | sed -n 's/^[0-9]* passed, \([0-9]*\) failed$/\1/p')
    passed=$((passed + ${n:-0}))
    failed=$((failed + ${bad:-1}))
    out=$(mktemp)
    WP_BIN=$BUILD tests/run-scenarios.sh 4 | tee "$out"
    p=$(sed -n 's/^\([0-9]*\) passed, \([0-9]*\) failed$/\1/p' "$out")
    f=$(sed -n 's/^\([0-9]*\) passed, \([0-9]*\) failed$/\2/p' "$out")
    rm -f "$out"
    passed=$((passed + p))
    failed=$((failed + f))
fi
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
