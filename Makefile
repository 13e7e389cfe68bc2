PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
STEPS ?= 20000
PYTEST_ARGS ?=

.PHONY: demo up test test-apart test-known lint soak measure slopes latency

$(VENV)/installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

demo: $(VENV)/installed
	$(BIN)/python tools/demo.py

up: $(VENV)/installed
	$(BIN)/python tools/demo.py --hold

test: $(VENV)/installed
	$(BIN)/python -m pytest $(PYTEST_ARGS)

# Tests that measure processes, one at a time and nothing beside them.
test-apart: $(VENV)/installed
	$(BIN)/python -m pytest -n 0 -m apart $(PYTEST_ARGS)

test-known: $(VENV)/installed
	$(BIN)/python -m pytest -n 0 -m "apart or not apart" $(PYTEST_ARGS)

lint: $(VENV)/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

soak: $(VENV)/installed
	$(BIN)/python tools/soak.py --seed $(SEED) --steps $(STEPS)

measure: $(VENV)/installed
	$(BIN)/python tools/measure.py --seed $(SEED) $(if $(JSON),--json $(JSON))

slopes: $(VENV)/installed
	$(BIN)/python tools/slopes.py

latency: $(VENV)/installed
	$(BIN)/python tools/latency.py
