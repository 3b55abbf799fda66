VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: install test lint check demo demo-ciucur clean

$(BIN)/cicadaledge: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[load,dev]'
	touch $(BIN)/cicadaledge

install: $(BIN)/cicadaledge

lint: install
	$(BIN)/black --check --quiet src tests examples
	$(BIN)/ruff check --quiet src tests examples
	$(BIN)/mypy --no-error-summary

test: install
	$(BIN)/python tests/run.py

check: lint test

demo: install
	$(BIN)/cicadaledge load demo examples/wattle-wheels/deployment.yaml

demo-ciucur: install
	$(BIN)/cicadaledge load demo examples/ciucur-soft/deployment.yaml

clean:
	rm -rf $(VENV) out
