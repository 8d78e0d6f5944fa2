# Commands for users and developers of pollenfront.
SHELL := /bin/bash
MODULES := ./... ./agent/... ./entry/... ./pollenctl/... ./standin/...

.PHONY: bench build demo faults faults-short lint recovery rolling slopes test unit

bench: build ## measures the policy into run/bench (ROWS="..." for some rows)
	scripts/bench.sh $(ROWS)

build: ## builds all programs into bin/
	go build -o bin/ ./agent ./entry ./pollenctl ./standin

demo: build ## runs both deployments on loopback and shows their answers
	scripts/demo.sh

faults: build ## runs the schedule of faults of SEED and checks the history
	scripts/faults.sh

faults-short: build ## runs a short schedule of faults; the verdict is on safety only
	SEED=2 FOR=14s OCTET=30 scripts/faults.sh

lint: ## checks format and style
	scripts/lint.sh

rolling: build ## restarts all entries and agents under load
	scripts/rolling.sh

recovery: build ## kills an owner under load and states the time to recover
	for c in plain table zone; do scripts/recovery.sh $$c || exit 1; done

slopes: build ## measures the slopes of docs/CAPACITY.md
	scripts/slopes.sh

test: lint unit faults-short ## checks format and style, and runs all tests

unit: build
	go test -race -timeout 10m $(MODULES)
