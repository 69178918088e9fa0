# Index of every task. `make` alone lists them.
.DEFAULT_GOAL := help
LINT := golangci-lint
LINT_VERSION := v2.6.2
# The first seed of the soak.
SOAK ?= 100001

.PHONY: help afterwards bench build capacity demo load soak test race lint format tools ci

help: ## list the tasks
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

afterwards: ## explain three failed requests of a log, drawn at random (LOG=FILE SEED=N)
	go run ./cmd/primrosehook explain -log $(LOG) -seed $(or $(SEED),1) failures

bench: ## compare the decisions with baselines on both deployments (about ten minutes; out/bench)
	go run ./cmd/bench

build: ## build the programs into bin/
	go build -o bin/ ./cmd/...

capacity: ## measure what control costs an instance, by fleet size (about eight minutes)
	go run ./scripts/capacity
	go run ./scripts/capacity -tokens

demo: ## run both deployments with stand-ins (about a minute)
	go run ./scripts/demo

# -count=1: the go tool cannot see that a test starts the programs, so it would
# take an old result for one that a change has broken.
test: ## run all tests
	go test -count=1 ./...

load: ## run both deployments as real processes under load and failures (about four minutes)
	go run ./scripts/load

race: ## run all tests under the race detector
	go test -count=1 -race ./...

soak: ## play ten times as many seeded schedules as the tests do, from other seeds (minutes)
	CLAIMER_SEED=$(SOAK) CLAIMER_RUNS=40000 ORDERER_SEED=$(SOAK) ORDERER_RUNS=4000 \
	REPLAYER_SEED=$(SOAK) REPLAYER_RUNS=20000 \
		go test -count=1 -timeout 60m ./claimer ./orderchecker ./replayer
	go test -count=1 ./dispatcher ./keeper ./limiter ./poolplanner ./quarantiner ./router -rapid.checks=5000

lint: ## check format and lint rules
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
