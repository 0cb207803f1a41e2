# The usual steps; `make run` takes another configuration by CONFIGURATION=file.
CONFIGURATION ?= deploy/configuration.json

.PHONY: build test lint format check run demo sites

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

format:
	cargo fmt --all

check: build
	target/release/comethitchd check --configuration $(CONFIGURATION)

run: build
	target/release/comethitchd serve --configuration $(CONFIGURATION)

# A router between stand-in hosts and clients on loopback, with one takeover in the middle.
demo:
	cargo run --release --locked -p comethitchd --example demo

# What the benches look for beside a site's file, laid as links into the kit; git does not take them in.
sites:
	for file in real.json wire.json unlock.txt; do \
	  ln -sfn ../../../given/kit/more/mass/other/$$file deploy/sites/$$file; done
