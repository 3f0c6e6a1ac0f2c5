# `make run` runs the main job on embedded stand-ins; `make test` passes the tests.
.PHONY: run test deps

run: deps
	cargo run --release --quiet -- local --seconds 10

test: deps
	cargo fmt --check
	cargo machete
	cargo clippy --all-targets --quiet -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --no-deps --quiet
	cargo test --doc --quiet
	tools/run-tests.sh

# Installs what a new machine lacks: nng's build needs cmake, and the test runner and the check for unused
# dependencies are tools of their own.
deps:
	@command -v cmake >/dev/null || (apt-get update -qq && apt-get install -y -qq cmake)
	@command -v cargo-machete >/dev/null || cargo install --locked --quiet cargo-machete
	@command -v cargo-nextest >/dev/null || cargo install --locked --quiet cargo-nextest
