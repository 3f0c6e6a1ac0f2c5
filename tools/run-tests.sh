#!/usr/bin/env bash
# Runs all tests. Those that KNOWN-RED.txt lists are run first and apart: they are printed, and do not fail the run.
# Only a test that fails counts as known red: a missing runner, a failed build and an entry without a test are errors.
set -euo pipefail
cd "$(dirname "$0")/.."

# The exit code of nextest if a test has failed; its other errors have codes of their own.
readonly TEST_FAILED=100

fail() {
  echo "error: $*" >&2
  exit 1
}

cargo nextest --version >/dev/null ||
  fail "no test was run, cargo-nextest is missing or cannot run: install it with \`make deps\`," \
    "or again with \`cargo install --locked --force cargo-nextest\`"
cargo nextest run --no-run || fail "no test was run, the tests cannot be built"
tests=$(cargo nextest list --message-format oneline | cut -d ' ' -f 2-) ||
  fail "no test was run, the tests cannot be listed"

mapfile -t known_red < <(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null)
missing=()
for name in "${known_red[@]}"; do
  grep -qxF -- "$name" <<<"$tests" || missing+=("$name")
done
[[ ${#missing[@]} -eq 0 ]] ||
  fail "no test was run, KNOWN-RED.txt lists tests that do not exist or are ignored: ${missing[*]}"

filter="all()"
for name in "${known_red[@]}"; do
  filter="$filter - test(=$name)"
  echo "known red, see KNOWN-RED.txt: $name"
  status=0
  cargo nextest run -E "test(=$name)" || status=$?
  case $status in
    0) echo "known red, passed: $name" ;;
    "$TEST_FAILED") echo "known red, failed: $name" ;;
    *) fail "cargo nextest ended with $status for $name, which is neither a pass nor a failed test" ;;
  esac
done
cargo nextest run --no-fail-fast -E "$filter"
