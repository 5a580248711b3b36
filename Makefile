VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
export PYTHONPATH = src:.
SOURCES = src standins tools tests deploy/entry.py

.PHONY: setup format lint types unit test demo platform-demo measure capacity mutants soak thrift clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements.txt
	touch $@

format: setup
	$(BIN)/ruff format $(SOURCES)

lint: setup
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

types: setup
	$(BIN)/mypy $(SOURCES)

unit: setup
	$(BIN)/python -m tests.run

test: lint types unit

demo: setup
	$(BIN)/python -m tools.demo

platform-demo: setup
	$(BIN)/python -m tools.platform_demo

measure: setup
	$(BIN)/python -m tools.measure $(ARGS)

capacity: setup
	$(BIN)/python -m tools.slopes $(ARGS)

soak: setup
	$(BIN)/python -m tools.soak --seed $(or $(SEED),1) --seconds $(or $(SECONDS),10)

mutants: setup
	$(BIN)/python -m tools.mutants $(ARGS)

thrift:
	thrift -out src/marjoramwharf/links/thrift_types --gen py:slots,enum,package_prefix=marjoramwharf.links.thrift_types. src/marjoramwharf/links/peer.thrift
