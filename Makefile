.PHONY: build test lint run

build:
	cargo build --release

test:
	cargo test --workspace

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets -- -D warnings

# One server, as RELAY_CONFIG tells it.
run: build
	exec target/release/madderbay
