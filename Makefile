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
	$(RUN) -m tools.run_tests

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

# Runs the benches one after another, each within a time limit; one that fails
# or exceeds it is reported at the end, and the others still run. Of the
# floods only those of long work by five times are run; for both deployments
# they took longer than 330 s.
BENCH_RESULTS ?= /tmp/fireflywell-bench
BENCH_SEED ?= 1
BENCH_LIMIT ?= 600
bench: $(VENV)/.installed
	mkdir -p $(BENCH_RESULTS)
	@failed=; run() { \
	  name=$$1; shift; echo "== $$name $$*"; \
	  PYTHONPATH=src:. timeout $(BENCH_LIMIT) $(VENV)/bin/python \
	    bench/$$name.py "$$@" || failed="$$failed $$name"; \
	}; \
	run placement --seed $(BENCH_SEED); \
	run planning --seed $(BENCH_SEED) --json $(BENCH_RESULTS)/planning.json; \
	run control_state; \
	run control_polls --json $(BENCH_RESULTS)/control_polls.json; \
	run mesh --sizes 2,6,12,18,24; \
	run queue_cost --json $(BENCH_RESULTS)/queue_cost.json; \
	run outage; \
	run rollout --json $(BENCH_RESULTS)/rollout.json; \
	run connection_pool; \
	run passthrough --requests 2000; \
	run fleet --seed $(BENCH_SEED) --json $(BENCH_RESULTS)/fleet.json; \
	run flood --seed $(BENCH_SEED) --factor 5 --flooded reconciliation \
	  --json $(BENCH_RESULTS)/flood.json; \
	if test -n "$$failed"; then echo "failed or too long:$$failed"; exit 1; fi
