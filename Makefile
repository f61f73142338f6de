PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
WORKERS ?= 4

.PHONY: demo test lint unit clean

$(STAMP): pyproject.toml requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/celeryrelay-demo

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/flake8 celeryrelay standins tests

unit: $(STAMP)
	$(BIN)/pytest -n $(WORKERS)

test: lint unit

clean:
	rm -rf $(VENV) build
