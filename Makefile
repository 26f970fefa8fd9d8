VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: run test bench chaos format install

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[test,bench]'
	touch $@

install: $(VENV)/.installed

run: install
	$(BIN)/dandeliondrum demo $(DEMO_ARGS)

test: install
	$(BIN)/ruff format --check dandeliondrum tests benchmarks examples
	$(BIN)/flake8 dandeliondrum tests benchmarks examples
	$(BIN)/mypy
	$(BIN)/pytest $(PYTEST_ARGS)

format: install
	$(BIN)/ruff format dandeliondrum tests benchmarks examples
