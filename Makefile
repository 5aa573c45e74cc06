# `make demo` and `make test` need only Python 3.11, pip and make.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint bench bench-short capacity binary

$(VENV)/installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -e ".[dev]"
	touch $@

demo: $(VENV)/installed
	$(BIN)/python -m boragegw demo

test: $(VENV)/installed
	$(BIN)/python -m pytest

lint: $(VENV)/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

bench: $(VENV)/installed
	$(BIN)/python -m benchmarks.aims

bench-short: $(VENV)/installed
	$(BIN)/python -m benchmarks.aims --short

capacity: $(VENV)/installed
	$(BIN)/python -m benchmarks.capacity

binary: $(VENV)/installed
	$(BIN)/pip install -q -c constraints.txt -e ".[binary]"
	$(BIN)/python packaging/build.py
	packaging/check-binary dist/boragegw
