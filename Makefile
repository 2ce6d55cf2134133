VENV := .venv
PYTHON := $(VENV)/bin/python

.PHONY: setup demo test lint clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q --disable-pip-version-check -r requirements.lock
	$(PYTHON) -m pip install -q --disable-pip-version-check --no-deps -e .
	touch $@

demo: setup
	$(PYTHON) -m tests.support.demo

lint: setup
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .

test: lint
	$(PYTHON) -m pytest

clean:
	rm -rf $(VENV) .demo
