# Commands for users and developers of pollenfront.
SHELL := /bin/bash
MODULES := ./... ./agent/... ./compare/... ./entry/... ./pollenctl/... ./soak/... ./standin/...
SEED ?= 1
FOR ?= 20s

.PHONY: build demo lint soak soak-short test unit

build: ## builds all programs into bin/
	go build -o bin/ ./agent ./compare ./entry ./pollenctl ./soak

demo: build ## runs a fleet on loopback without faults and shows how its jobs ended
	bin/soak --calm --for 8s

lint: ## checks format and style
	scripts/lint.sh

soak: build ## runs a fleet under the schedule of faults of SEED for the time FOR
	bin/soak --seed $(SEED) --for $(FOR)

soak-short: build ## runs a fleet without faults, and two short schedules of faults
	bin/soak --calm --for 5s
	bin/soak --seed 14 --for 10s
	bin/soak --seed 2 --for 8s

test: lint unit soak-short ## checks format and style, and runs all tests

unit: build
	go test -race -timeout 10m $(MODULES)
