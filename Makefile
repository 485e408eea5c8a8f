# Set-up, checks and demonstrations; `make` lists the targets.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.DEFAULT_GOAL := help

help: ## List the targets
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:[^#]*## /\t/' | sort | expand -t 14

$(VENV)/.installed: pyproject.toml requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

install: $(VENV)/.installed ## Create the virtual environment

demo: install ## Run the whole path with real requests for both deployments
	$(BIN)/python -m standins.demo

up: install ## Keep a local cell with stand-ins running until interrupted
	$(BIN)/python -m standins.up

test: install ## Run the tests
	$(BIN)/python -m pytest $(PYTEST_ARGS)

build: install ## Build the single file dist/flamingoway
	mkdir -p dist
	PIP_CONSTRAINT=requirements.txt $(BIN)/shiv --quiet --reproducible \
	  --console-script flamingoway --output-file dist/flamingoway .

smoke: build ## Run the single file: --version and one request
	$(BIN)/python -m standins.smoke dist/flamingoway

lint: install ## Check format and lint rules
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install ## Format the code
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

proto: install ## Regenerate the committed gRPC code
	$(BIN)/python -m grpc_tools.protoc --proto_path=proto \
	  --python_out=flamingoway/proto --grpc_python_out=flamingoway/proto \
	  proto/etcd.proto proto/worker.proto
	sed -i -E 's/^import (etcd|worker)_pb2/from . import \1_pb2/' flamingoway/proto/*_pb2_grpc.py

.PHONY: help install demo up test build smoke lint format proto
