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
	$(BIN)/pytest -n 0 -m isolated tests/test_untrusted_clients.py

format: install
	$(BIN)/ruff format dandeliondrum tests benchmarks examples

SEED ?= 1
SECONDS ?= 60

chaos: install
	$(BIN)/python -m dandeliondrum.testing.chaos --seed=$(SEED) --seconds=$(SECONDS)

bench: install
	mkdir -p bench-out
	$(BIN)/python -m benchmarks.bench_state --short --out bench-out/state.json
	$(BIN)/python -m benchmarks.bench_end_to_end all --tasks=2000 --repeats=1 --seconds=5 --out bench-out/end_to_end.json
	$(BIN)/python -m benchmarks.bench_heartbeats --seconds=4 --out bench-out/heartbeats.json
	$(BIN)/python -m benchmarks.bench_placement --part=speed --workers='(24,240)' --teams='(10,)' --decisions=500 --out bench-out/placement_speed.json
	$(BIN)/python -m benchmarks.bench_rounds --seconds=3 --out bench-out/rounds.json
	$(BIN)/python -m benchmarks.bench_consensus --seconds=2 > bench-out/consensus.json
