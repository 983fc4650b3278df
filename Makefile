PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
DURATION_S ?= 60
export PYTHONPATH := $(CURDIR)

.PHONY: install demo test lint format bench soak edge-soak stop-soak slopes clean

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[test]'
	touch $@

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint
	$(BIN)/python -m tests.run

demo: install
	$(BIN)/python -m tests.demo

bench: install
	$(BIN)/python -m tests.bench.run

soak: install
	$(BIN)/python -m tests.soak --seed $(SEED) --duration-s $(DURATION_S)

edge-soak: install
	$(BIN)/python -m tests.edge_soak.run --seed $(SEED) --duration-s $(DURATION_S)

stop-soak: install
	$(BIN)/python -m tests.edge_soak.rolling_stops --seed $(SEED)

slopes: install
	$(BIN)/python -m tests.bench.slopes

clean:
	rm -rf $(VENV) build *.egg-info
