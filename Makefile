PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin
SOURCES = packages tests examples
PIN := $(shell sha256sum requirements.txt | cut -c1-12)
READY = $(VENV)/.ready-$(PIN)
QUICK ?= 0

export PYTHONPATH := $(CURDIR)/packages/laburnumstep/src:$(CURDIR)/packages/laburnumstep-operator/src:$(CURDIR)/packages/laburnumstep-standins/src:$(CURDIR)/tests
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: demo test bench lint format

demo: $(READY)
	@$(BIN)/python -m laburnumstep_standins.demo

test: lint
	@$(BIN)/python tests/run.py

bench: $(READY)
	@$(BIN)/python -m laburnumstep_standins.bench --quick $(QUICK)

lint: $(READY)
	@$(BIN)/ruff format --check $(SOURCES)
	@$(BIN)/flake8 $(SOURCES)
	@$(BIN)/mypy

format: $(READY)
	@$(BIN)/ruff format $(SOURCES)

$(READY):
	@test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	@$(BIN)/python -m pip install --quiet --requirement requirements.txt
	@$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation \
	    --editable packages/laburnumstep \
	    --editable packages/laburnumstep-operator \
	    --editable packages/laburnumstep-standins
	@touch $@
