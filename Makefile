# `make demo` and `make test` set up all they need in .venv-program and run; python3 (3.11 or newer) is enough.
PYTHON ?= python3
VENV := .venv-program
STAMP := $(VENV)/.ready

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

.PHONY: setup demo test soak lint proto
setup: $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/sprucespool day days/demo.kdl

test: $(STAMP)
	$(VENV)/bin/python -m pytest -m "not sockets" -n auto --dist worksteal
	$(VENV)/bin/python -m pytest -m sockets

# SEEDS: first and last seed and how many are played at a time.
SEEDS ?= 1 50 4
soak: $(STAMP)
	PYTHONPATH=.:tests $(VENV)/bin/python tests/soak.py $(SEEDS)

lint: $(STAMP)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy
	PATH="$(abspath $(VENV))/bin:$$PATH" lint-imports

proto: $(STAMP)
	cd proto && ../$(VENV)/bin/python -m grpc_tools.protoc -I. --python_out=../sprucespool/wire \
		--pyi_out=../sprucespool/wire inference.proto platform.proto
