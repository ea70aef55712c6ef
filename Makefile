PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: run test format proofs bench capacity clean

$(STAMP): requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

run: $(STAMP)
	$(BIN)/python -m tools.demonstration

test: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 src standins tools benchmarks tests
	$(BIN)/mypy
	$(BIN)/python -m tools.suite

format: $(STAMP)
	$(BIN)/ruff check --fix --exit-zero --quiet .
	$(BIN)/ruff format .
	$(BIN)/ruff check .

proofs: $(STAMP)
	$(BIN)/python -m tools.proofs

bench: $(STAMP)
	$(BIN)/python -m benchmarks

capacity: $(STAMP)
	$(BIN)/python -m benchmarks.capacity

clean:
	rm -rf $(VENV) build results
