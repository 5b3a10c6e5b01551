.PHONY: build test lint run sites soak

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

# Plays the real program under drawn troubles; docs/notes/soak.md has what is drawn and checked.
SEEDS ?= 1..57
soak: build
	cargo run --quiet --release --package madderbay-testkit --example soak -- $(SEEDS)
