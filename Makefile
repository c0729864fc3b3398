PY := .venv/bin/python

.PHONY: setup test lint bench demo binary

setup: .venv/ready

.venv/ready: pyproject.toml constraints.txt
	python3 -m venv .venv
	.venv/bin/pip install -q -c constraints.txt -e '.[dev]'
	touch .venv/ready

lint: setup
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/lint-imports --no-cache

test: setup
	$(PY) -m pytest

bench: setup
	$(PY) -m benchmarks

demo: setup
	$(PY) -m tests.demo $(ARGS)

binary: setup
	$(PY) -m tests.binary dist/hickoryplank
