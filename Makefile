# All development tasks. `make` without a target lists them.
.DEFAULT_GOAL := help
LINT := golangci-lint
LINT_VERSION := v2.6.2
# First seed of the soak target.
SOAK ?= 100001
# Seed and length of the soaks of real processes.
SOAK_SEED ?= 213
SOAK_LENGTH ?= 1h

.PHONY: help afterwards bench build capacity demo load placement soak soak-short soak-long test race lint format tools ci

help: ## list all tasks
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

afterwards: ## explain three randomly chosen failed requests of a log (LOG=FILE SEED=N)
	go run ./cmd/primrosehook explain -log $(LOG) -seed $(or $(SEED),1) failures

bench: ## compare the policy with baselines on both simulated deployments (about ten minutes; writes out/bench)
	go run ./cmd/bench

build: ## build the programs into bin/
	go build -o bin/ ./cmd/...

capacity: ## measure control overhead by fleet size, and the cost of a token (about eight minutes)
	go run ./scripts/capacity
	go run ./scripts/capacity -tokens

demo: ## run both deployments with simulated engines and services (about a minute)
	go run ./scripts/demo

# -count=1 bypasses the test cache: some tests start the built programs, which the
# go tool does not track as inputs, so a cached pass could hide a regression.
# The tests of memory under many clients and the soak of real processes run apart from the others,
# whose load would be theirs.
APART := /(crowder|soaker)$$
OTHERS = $(shell go list ./... | grep -vE '$(APART)')

test: ## run all tests
	@failed=0; go test -count=1 $(OTHERS) || failed=1; go test -count=1 -p 1 ./crowder ./soaker || failed=1; exit $$failed

load: ## run both deployments as real processes under load and failures (about four minutes)
	go run ./scripts/load

placement: ## play days of an emulated fleet with the planner for the platform (half a minute)
	go run ./scripts/placement

race: ## run all tests under the race detector
	@failed=0; go test -count=1 -race $(OTHERS) || failed=1; go test -count=1 -race -p 1 ./crowder ./soaker || failed=1; exit $$failed

soak: ## run ten times as many seeded schedules as the tests, from other seeds (minutes)
	CLAIMER_SEED=$(SOAK) CLAIMER_RUNS=40000 ORDERER_SEED=$(SOAK) ORDERER_RUNS=4000 \
	REPLAYER_SEED=$(SOAK) REPLAYER_RUNS=20000 \
		go test -count=1 -timeout 60m ./claimer ./orderchecker ./replayer
	go test -count=1 ./dispatcher ./jobtracker ./limiter ./poolplanner ./quarantiner ./router -rapid.checks=5000

soak-short: ## play faults against real processes, and check what is promised (a minute; SOAK_SEED=N)
	go run ./cmd/soak -seed $(SOAK_SEED) -for 66s -rate 40

soak-long: ## the same for SOAK_LENGTH (1h), with a race detector in the processes; logs go to out/soak
	mkdir -p out/soak
	go build -race -o out/soak/primrosehook ./cmd/primrosehook
	go run ./cmd/soak -seed $(SOAK_SEED) -for $(SOAK_LENGTH) -program out/soak/primrosehook -keep out/soak -json out/soak/result.json

lint: ## check formatting, lint rules and go.mod
	$(LINT) fmt --diff
	$(LINT) run
	go mod tidy -diff

format: ## format the source
	$(LINT) fmt

tools: ## install the linter and the model checker
	command -v $(LINT) >/dev/null || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	command -v spin >/dev/null || { apt-get update -q && apt-get install -y -q spin; }

ci: ## run what CI runs
	.ci/run
