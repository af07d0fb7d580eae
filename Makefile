# One command sets up and runs the demo, one sets up and runs the tests.
VENV ?= .venv
PYTHON := $(VENV)/bin/python

.PHONY: demo test lint format binary test-binary docs

demo: $(VENV)/.installed
	$(PYTHON) -m fuchsiacroft demo

test: $(VENV)/.installed lint
	$(PYTHON) tools/run_tests.py

lint: $(VENV)/.installed
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(PYTHON) tools/write_reference.py --check

format: $(VENV)/.installed
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

binary: $(VENV)/.installed
	$(PYTHON) tools/build_binary.py dist/fuchsiacroft

test-binary: binary
	$(PYTHON) tools/build_binary.py build/again
	cmp dist/fuchsiacroft build/again
	dist/fuchsiacroft demo

docs: $(VENV)/.installed
	$(PYTHON) tools/write_reference.py

$(VENV)/.installed: requirements-dev.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --require-hashes -r requirements-dev.txt
	touch $@
