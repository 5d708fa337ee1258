export PYTHONPATH := $(CURDIR)/src:$(CURDIR)

VENV ?= .venv
PYTHON = $(VENV)/bin/python
PROTO = src/quetzalrudder/schema/proto
SCHEMA = src/quetzalrudder/schema
SEEDS ?= 50
PROFILE ?= small

.PHONY: install demo test bench soak format lint check-format generate check-schema settings-reference check-settings-reference

install: $(VENV)/.installed

$(VENV)/.installed: constraints.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q -c constraints.txt -e '.[dev]'
	touch $@

demo: install
	$(PYTHON) -m standins.demo

test: install
	$(PYTHON) -m pytest -q tests

bench: install
	$(PYTHON) -m bench

# Also PROFILE=large, in which connections are lent between instances, and PROFILE=confirmed, in which
# primaries crash whose commits a replica confirms.
soak: export PYTHONPATH := $(PYTHONPATH):$(CURDIR)/platform
soak: install
	$(PYTHON) -m soak --seeds $(SEEDS) --profile $(PROFILE)

format: install
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

lint: install
	$(VENV)/bin/ruff check .

check-format: install
	$(VENV)/bin/ruff format --check .

generate: install
	$(PYTHON) tools/generate_schema.py $(SCHEMA)

check-schema: install
	$(PYTHON) tools/generate_schema.py --check $(SCHEMA)

settings-reference: install
	$(PYTHON) tools/settings_reference.py

check-settings-reference: install
	$(PYTHON) tools/settings_reference.py --check
