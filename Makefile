# Targets to build, test, lint, run, fuzz and measure. `make run` needs a configuration file, which LB_CONFIG names.
.PHONY: build test lint run demo fuzz measure

build:
	cargo build --release --locked

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

run: build
	exec target/release/sillfold

# Starts stand-in hosts, discovery and the proxy, and prints how to query it.
demo:
	cargo build --release --locked --workspace
	exec target/release/sillfold-lab demo

# Fuzzes the parser of statements with arbitrary bytes for FUZZ_SECONDS seconds. The coverage instrumentation is the
# compiler's own pass.
FUZZ_SECONDS ?= 60
# With an explicit --target, Cargo does not apply the flags to build scripts.
HOST = $(shell rustc -vV | sed -n 's/^host: //p')
FUZZ_FLAGS = -Cpasses=sancov-module -Cllvm-args=-sanitizer-coverage-level=4 \
	-Cllvm-args=-sanitizer-coverage-inline-8bit-counters -Cllvm-args=-sanitizer-coverage-pc-table
fuzz:
	cd crates/sql/fuzz && RUSTFLAGS="$(FUZZ_FLAGS)" cargo build --release --target $(HOST) --target-dir ../../../target/fuzz
	mkdir -p target/fuzz/corpus
	grep -v '^#' crates/sql/tests/corpus.txt | sed 's/^[a-z]* | [^|]* | //' | split -l 1 - target/fuzz/corpus/s
	target/fuzz/$(HOST)/release/sillfold-sql-fuzz -max_total_time=$(FUZZ_SECONDS) -max_len=4096 target/fuzz/corpus

# Measures the figures that docs/statements.md quotes.
measure:
	cargo build --release --locked --workspace
	target/release/sillfold-lab statements
