# `make demo` and `make test` do all set-up by themselves on a fresh machine.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEED ?= 1
MINUTES ?= 1

.PHONY: demo test lint format bench slopes soak clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --no-deps -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m demo.run

test: $(STAMP)
	$(BIN)/python -m tools.run_tests

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(STAMP)
	$(BIN)/python -m benchmarks.run

slopes: $(STAMP)
	$(BIN)/python -m benchmarks.slopes
	$(BIN)/python -m benchmarks.control_cost --seconds=120
	$(BIN)/python -m benchmarks.configuration_cost
	$(BIN)/python -m benchmarks.account_cost
	$(BIN)/python -m benchmarks.idle_cost --seconds=12
	$(BIN)/python -m benchmarks.sharing_cost

soak: $(STAMP)
	$(BIN)/python -m benchmarks.soak --seed=$(SEED) --minutes=$(MINUTES)

clean:
	rm -rf $(VENV) build out *.egg-info
