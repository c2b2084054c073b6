SHELL := /bin/bash
PYTHON ?= python3
VENV ?= .venv
SOAK_SEED ?= 1
SOAK_SEEDS ?= 2
# A run with only silent connections and changes; with this seed, a change came late before.
SILENCE_SEED ?= 3102
SOAK_RECOVER ?= 15
PACKAGES := core adapters daemon cli standins
SOURCES := packages platform features
FOLDERS := $(foreach p,$(PACKAGES),packages/agatecross-$(p)) platform
MODULES := $(foreach p,$(PACKAGES),agatecross_$(p)) agatecross_platform
export PYTHONPATH := $(subst $(eval ) ,:,$(foreach p,$(FOLDERS),$(CURDIR)/$(p)))
export PATH := $(abspath $(VENV))/bin:$(PATH)

.PHONY: setup test soak demo format lint types

setup: $(VENV)/installed

$(VENV)/installed: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install -q -c constraints.txt -r requirements-dev.txt \
		$(foreach p,$(FOLDERS),-e $(p))
	touch $@

test: setup
	$(VENV)/bin/behave -q --no-capture features

soak: setup
	$(VENV)/bin/python -m agatecross_standins.soak --seed=$(SOAK_SEED) --seeds=$(SOAK_SEEDS) \
		--recover=$(SOAK_RECOVER) --regressions --known_red=KNOWN-RED.txt
	$(VENV)/bin/python -m agatecross_standins.soak --seed=$(SILENCE_SEED) --seconds=20 \
		--recover=$(SOAK_RECOVER) --only=herd-silent --known_red=KNOWN-RED.txt

demo: setup
	$(VENV)/bin/python -m agatecross_standins.demo

format: setup
	$(VENV)/bin/black -q $(SOURCES)
	$(VENV)/bin/ruff check -q --fix $(SOURCES)

lint: setup
	$(VENV)/bin/black -q --check $(SOURCES)
	$(VENV)/bin/ruff check -q $(SOURCES)

types: setup
	$(VENV)/bin/mypy $(foreach p,$(MODULES),-p $(p))
