# Each target sets up the virtual environment it needs; PYTHON may name another interpreter.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEED ?= 1
MINUTES ?= 2

# Files of the groups of tests that run beside each other, each in one process. The groups take
# about equally long; the group others has all other files. The groups nodes, programs, input, responses
# and stops mostly wait, so eleven groups need about seven cores.
TEST_GROUPS := evacuation spreading limits cold paths nodes programs input responses \
	stops
evacuation := tests/test_evacuation.py
spreading := tests/test_locator_freshness.py tests/test_regions.py tests/test_table_spreading.py
limits := tests/test_request_limits.py tests/test_quotas.py
cold := tests/test_cold_servers.py tests/test_crash_quarantine.py
paths := tests/test_lost_paths.py tests/test_probes_by_demand.py tests/test_fleet.py
nodes := tests/test_endless_data.py tests/test_explanation.py tests/test_key_revocation.py \
	tests/test_node.py tests/test_node_program.py tests/test_relays.py tests/test_store_restore.py
programs := tests/test_programs.py tests/test_node_soak.py
input := tests/test_malformed_input.py tests/test_odd_records.py tests/test_truncated_heads.py
responses := tests/test_endless_responses.py tests/test_invalid_heads.py \
	tests/test_response_scanner.py
stops := tests/test_late_requests_at_stops.py tests/test_planned_stops.py \
	tests/test_stop_answers.py

.PHONY: demo demo-standalone test $(TEST_GROUPS:%=test-%) test-others lint format soak node-soak bench slopes lock clean

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
	$(MAKE) --no-print-directory --jobs 11 --output-sync=target $(TEST_GROUPS:%=test-%) test-others

$(TEST_GROUPS:%=test-%): test-%:
	$(BIN)/python -m pytest --durations=5 $($*)

test-others:
	$(BIN)/python -m pytest --durations=5 \
		$(foreach group,$(TEST_GROUPS),$(addprefix --ignore=,$($(group))))

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
