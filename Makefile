VENV ?= .venv
PY := $(VENV)/bin/python
DEPLOYMENT ?= tsagaan_amttan
SEED ?= 1
SOAK_RESULTS ?= docs/measurements/soak.jsonl

.PHONY: demo test setup setup-dev format lint types imports schema schema-check unit binary report

$(VENV)/.run: requirements.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements.txt
	touch $@

$(VENV)/.dev: requirements-dev.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements-dev.txt
	touch $(VENV)/.run $@

setup: $(VENV)/.run
setup-dev: $(VENV)/.dev

demo: setup
	$(PY) -m endivespindle demo examples/$(DEPLOYMENT)/demo.toml --seed $(SEED)

test: setup-dev lint types imports schema-check unit

lint: setup-dev
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .

format: setup-dev
	$(PY) -m ruff format .
	$(PY) -m ruff check --fix .

types: setup-dev
	$(PY) -m mypy

imports: setup-dev
	$(VENV)/bin/lint-imports

schema: setup-dev
	$(PY) tools/generate_schema.py
	PYTHONPATH=. $(PY) tools/generate_docs.py

schema-check: setup-dev
	$(PY) tools/generate_schema.py --check
	PYTHONPATH=. $(PY) tools/generate_docs.py --check

unit: setup-dev
	$(PY) -m pytest

binary: setup-dev
	$(PY) tools/build_binary.py

bench: setup
	$(PY) -m endivespindle bench all --seed $(SEED)

soak: setup-dev
	$(PY) tools/run_soak.py --seed $(SEED)

mutants: setup-dev
	$(PY) tools/run_mutants.py

capacity: setup
	PYTHONPATH=. $(PY) tools/measure_capacity.py --seed $(SEED)

soak-system: setup-dev
	PYTHONPATH=. $(PY) tools/run_system_soak.py --first $(SEED) \
		--results $(SOAK_RESULTS)

report: setup
	$(PY) -m endivespindle report journal --last 10 \
		$(if $(wildcard $(SOAK_RESULTS)),--soak $(SOAK_RESULTS)) \
		--page docs/measurements/last_commits.md \
		--svg docs/measurements/last_commits.svg
