PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: build dev demo test lint run sim clean

build: $(VENV)/built

$(VENV)/built: requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip -q install -r requirements.txt
	touch $@

dev: build
	$(BIN)/pip -q install -r requirements-dev.txt

test: dev
	$(BIN)/python -m pytest -q

lint: dev
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/mypy

demo: dev
	$(BIN)/python -m springspread.cli demo

run: build
	exec $(BIN)/python -m springspread

sim: build
	exec $(BIN)/python -m springspread.benchlink

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache .hypothesis
