# `make demo` runs the main job on a fresh machine, `make test` passes the tests.
VENV ?= .venv-ci
BIN = $(VENV)/bin

$(BIN)/badgerbend: pyproject.toml
	test -x $(BIN)/pip || python3 -m venv $(VENV)
	$(BIN)/pip -q install -e '.[dev]'
	touch $@

demo: $(BIN)/badgerbend
	$(BIN)/badgerbend demo

test:
	bash .ci/run

day: $(BIN)/badgerbend
	$(BIN)/badgerbend day examples/bad-day/day.conf

proto: $(BIN)/badgerbend
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. badgerbend/remote/remote.proto

.PHONY: demo test day proto
