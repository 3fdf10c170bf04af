PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test format check proofs explore bench slopes clean

demo: $(STAMP)
	$(BIN)/python -m demo

test: check
	$(BIN)/python -m pytest -n 4 --dist load

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

proofs: $(STAMP)
	$(BIN)/python -m pytest tests/failures

explore: $(STAMP)
	$(BIN)/python -m pytest tests/core/test_exploration.py --hypothesis-profile=explore

bench: $(STAMP)
	$(BIN)/python -m pip install -q -e '.[bench]'
	$(BIN)/python -m bench.policies

slopes: $(STAMP)
	$(BIN)/python -m bench.slopes

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -e '.[dev]'
	touch $(STAMP)

clean:
	rm -rf $(VENV) build run
