# Commands of the project; CONTRIBUTING.md explains them.

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: test demo lint dist smoke reference lock clean

$(VENV)/.installed: requirements-dev.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.lock
	touch $@

test: lint
	$(BIN)/python -m pytest --numprocesses 4 --dist loadfile
	$(MAKE) smoke

lint: $(VENV)/.installed
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/lint-imports

demo: $(VENV)/.installed
	$(BIN)/python -m examples.demo

# One file, the same for the same sources and lock file: the times inside are fixed
# and what names the folder of the build, or holds a digest of such a file, stays out.
dist: $(VENV)/.installed
	rm -rf build dist
	$(BIN)/pip install --quiet --no-deps --no-compile --target build/site \
	    --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-compile --target build/site .
	rm -rf build/site/bin build/site/*.dist-info/RECORD \
	    build/site/ryelever-*.dist-info/direct_url.json
	mkdir -p dist
	SOURCE_DATE_EPOCH=315532800 $(BIN)/shiv --reproducible --no-modify \
	    --site-packages build/site --python "/usr/bin/env python3.11" \
	    --console-script ryelever --output-file dist/ryelever.pyz
	sha256sum dist/ryelever.pyz

smoke: dist
	$(BIN)/python -m tests.smoke

reference: $(VENV)/.installed
	$(BIN)/python -m tests.write_reference

lock: $(VENV)/.installed
	$(BIN)/pip-compile --quiet --strip-extras --no-emit-index-url \
	    --no-emit-trusted-host --no-emit-find-links --no-annotate \
	    --output-file requirements.lock pyproject.toml
	$(BIN)/pip-compile --quiet --strip-extras --no-emit-index-url \
	    --no-emit-trusted-host --no-emit-find-links --no-annotate \
	    --extra dev --output-file requirements-dev.lock pyproject.toml

clean:
	rm -rf $(VENV) build dist *.egg-info
