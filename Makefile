# Each target sets up the virtual environment it needs; PYTHON may name another interpreter.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEED ?= 1
MINUTES ?= 2

.PHONY: demo demo-standalone test lint format soak bench slopes lock clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m bench.node_demo

demo-standalone: $(STAMP)
	$(BIN)/python -m bench.demo

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check --output-format concise .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

soak: $(STAMP)
	$(BIN)/python -m bench.soak --seed $(SEED) --minutes $(MINUTES)

bench: $(STAMP)
	$(BIN)/python -m bench.overhead
	$(BIN)/python -m bench.routing
	$(BIN)/python -m bench.plots

slopes: $(STAMP)
	$(BIN)/python -m bench.slopes

# rewrites the lock; needs pip-tools
lock:
	$(PYTHON) -m piptools compile --quiet --generate-hashes --allow-unsafe --strip-extras \
		--no-emit-index-url --no-emit-find-links --no-emit-trusted-host --no-header \
		--extra test --extra lint --output-file requirements.lock pyproject.toml requirements.build

clean:
	rm -rf $(VENV)
