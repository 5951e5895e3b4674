# Build, test, lint and run; `make run` wants LB_CONFIG to name a configuration file.
.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

run: build
	exec target/release/sillfold
