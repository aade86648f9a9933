VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
# Number of tests or features that run in parallel.
JOBS ?= 4

.PHONY: setup generate format lint test known-red unit features soak demo deployment-trineo deployment-spantwerk clean

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[dev]'
	touch $@

# Requires the thrift compiler; the generated code is committed.
generate:
	thrift --gen py:slots,package_prefix=citronpaddle.generated. -out citronpaddle/generated citronpaddle/hints.thrift
	rm -f citronpaddle/generated/hints/constants.py
	echo '__all__ = ["ttypes"]' > citronpaddle/generated/hints/__init__.py

format: setup
	$(BIN)/black citronpaddle tests extras
	$(BIN)/ruff check --fix citronpaddle tests extras

lint: setup
	$(BIN)/black --check --quiet citronpaddle tests extras
	$(BIN)/ruff check citronpaddle tests extras
	$(BIN)/lint-imports

# The crowds run afterwards, one at a time, so that no other test shares the machine with them.
unit: setup
	$(BIN)/python -m pytest -n $(JOBS) -m 'not known_red and not crowd'
	$(BIN)/python -m pytest -m 'crowd and not known_red'

# Runs each feature in its own process with its own ports; prints the full output of a failed feature.
features: setup
	mkdir -p build/features
	printf '%s\n' $(notdir $(wildcard tests/features/*.feature)) | xargs -P $(JOBS) -I{} sh -c \
		'$(BIN)/behave --no-color --format plain --tags=-known_red tests/features/{} >build/features/{}.txt 2>&1 \
		&& { echo {}; tail -n 4 build/features/{}.txt; } || { cat build/features/{}.txt; exit 1; }'

# Runs the tests and scenarios listed in KNOWN-RED.txt; prints their outcome without failing the target.
known-red: setup
	@if grep -rqs 'mark.known_red' tests; then \
		$(BIN)/python -m pytest -n $(JOBS) -m known_red -rA --tb=line || true; \
	else echo 'KNOWN-RED.txt lists no tests of pytest.'; fi
	@if grep -rqs '@known_red' tests/features; then \
		$(BIN)/behave --no-color --format plain --no-skipped --tags=known_red tests/features || true; \
	else echo 'KNOWN-RED.txt lists no scenarios.'; fi

# Runs the soak test with injected faults, for example: make soak SEED=1 RUNS=50 MINUTES=0.5
# With STOPS=1 the only faults are instances that are stopped and started.
SEED ?= 1
RUNS ?= 1
MINUTES ?= 0.5
soak: setup
	cd tests && ../$(BIN)/python -m soak --seed $(SEED) --runs $(RUNS) --minutes $(MINUTES) $(if $(STOPS),--stops-only)

test: lint unit features known-red

demo: setup
	$(BIN)/citronpaddle-demo

deployment-trineo deployment-spantwerk: setup
	BIN=$(BIN) extras/run-deployment $(@:deployment-%=%) all

clean:
	rm -rf $(VENV) build *.egg-info
