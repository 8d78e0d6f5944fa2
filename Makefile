# Commands for users and developers of pollenfront.
SHELL := /bin/bash
MODULES := ./... ./agent/... ./entry/... ./pollenctl/... ./standin/...

.PHONY: build demo lint test unit

build: ## builds all programs into bin/
	go build -o bin/ ./agent ./entry ./pollenctl ./standin

demo: build ## runs both deployments on loopback and shows their answers
	scripts/demo.sh

test: lint unit ## checks format and style, and runs all tests

lint:
	scripts/lint.sh

unit: build
	go test -race -timeout 10m $(MODULES)
