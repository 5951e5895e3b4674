# Build, test, lint and run; `make run` wants LB_CONFIG to name a configuration file.
.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings

run: build
	exec target/release/sillfold
