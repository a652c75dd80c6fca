# Commands for newcomers and CI; README.md describes each of them.

PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

export PYTHONPATH := src:bench:testing:specs

.PHONY: demo test check format lint types pytest soak check-models bench reference generate

$(STAMP): requirements.txt requirements-runtime.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m sesamehold_bench.process.cli demo

test: $(STAMP) format lint types pytest

format: $(STAMP)
	$(BIN)/ruff format --check .

lint: $(STAMP)
	$(BIN)/ruff check .

types: $(STAMP)
	$(BIN)/mypy

pytest: $(STAMP)
	$(BIN)/python -m pytest -q

# Plays fresh seeds of the fault soak; docs/fault-soak.md tells more.
soak: $(STAMP)
	$(BIN)/python -m fault_soak.process.run --seeds 10 --first $$(date +%s)

check-models: $(STAMP)
	$(BIN)/python -m sesamehold_specs.check --full

bench: $(STAMP)
	$(BIN)/python -m sesamehold_bench.process.cli experiments

# Writes the JSON schemas and docs/configuration.md from the models.
reference: $(STAMP)
	$(BIN)/python -m sesamehold.process.reference

# Needs the packages of the "generate" extra; the generated code is committed.
generate:
	cd src && $(PYTHON) -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpclib_python_out=. \
	  sesamehold/connection/wire/peer.proto sesamehold/connection/wire/gateway.proto
