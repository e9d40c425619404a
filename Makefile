# Installs into a virtual environment in the working tree and runs everything
# from there. Set VENV to use another environment.
VENV ?= .venv
PYTHON ?= python3
SOURCES = src tests bench tools
RUN = PYTHONPATH=src $(VENV)/bin/python

.PHONY: demo test check format bench mutations fuzz

$(VENV)/.installed: pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --editable '.[dev,bench]'
	touch $(VENV)/.installed

demo: $(VENV)/.installed
	$(RUN) -m tools.demo

test: $(VENV)/.installed
	$(RUN) tools/run_tests.py

check: $(VENV)/.installed
	$(VENV)/bin/pyink --check --quiet $(SOURCES)
	$(VENV)/bin/ruff check --quiet $(SOURCES)
	MYPYPATH=src $(VENV)/bin/mypy

format: $(VENV)/.installed
	$(VENV)/bin/ruff check --fix --exit-zero --quiet $(SOURCES)
	$(VENV)/bin/pyink --quiet $(SOURCES)

mutations: $(VENV)/.installed
	$(RUN) tools/check_mutations.py

SEED ?= $(shell date +%s)
fuzz: $(VENV)/.installed
	@echo "seed $(SEED); run again with: make fuzz SEED=$(SEED)"
	FUZZ_EXAMPLES=2000 FUZZ_SEED=$(SEED) $(RUN) tools/run_fuzz.py
