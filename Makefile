# Each target sets up the virtual environment it needs; PYTHON may name another interpreter.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEED ?= 1
MINUTES ?= 2

SIMULATIONS := tests/test_crash_quarantine.py tests/test_fleet.py tests/test_lost_paths.py \
	tests/test_request_limits.py
SHARED_LIMIT_SIMULATIONS := tests/test_cold_servers.py tests/test_probes_by_demand.py \
	tests/test_quotas.py
SPREADING_SIMULATIONS := tests/test_evacuation.py tests/test_locator_freshness.py \
	tests/test_regions.py tests/test_table_spreading.py

.PHONY: demo demo-standalone test test-simulations test-shared-limits test-spreading test-others lint format soak node-soak bench slopes lock clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m bench.node_demo

demo-standalone: $(STAMP)
	$(BIN)/python -m bench.demo

# Each group of simulations uses one core and hardly any real time, so they run beside the other
# tests.
test: $(STAMP)
	$(MAKE) --no-print-directory --jobs 4 --output-sync=target test-simulations \
		test-shared-limits test-spreading test-others

test-simulations:
	$(BIN)/python -m pytest $(SIMULATIONS)

test-shared-limits:
	$(BIN)/python -m pytest $(SHARED_LIMIT_SIMULATIONS)

test-spreading:
	$(BIN)/python -m pytest $(SPREADING_SIMULATIONS)

test-others:
	$(BIN)/python -m pytest $(addprefix --ignore=,$(SIMULATIONS) \
		$(SHARED_LIMIT_SIMULATIONS) $(SPREADING_SIMULATIONS))

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check --output-format concise .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

soak: $(STAMP)
	$(BIN)/python -m bench.soak --seed $(SEED) --minutes $(MINUTES)

node-soak: $(STAMP)
	$(BIN)/python -m bench.node_soak --seed $(SEED) --minutes $(MINUTES)

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
