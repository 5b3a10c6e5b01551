.PHONY: build test lint run sites

build:
	cargo build --release

test:
	.ci/tests

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --quiet

# One server, as RELAY_CONFIG tells it.
run: build
	exec target/release/madderbay

# The variants of the kit's sites that deploy/sites describes.
KIT ?= ../given/kit
sites:
	cargo run --quiet --package madderbay-testkit --example sites -- $(KIT)
