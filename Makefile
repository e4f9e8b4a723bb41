# Build, test, lint and run, as CI and operators do it.
JOBS ?= $(shell nproc)
BUILD ?= build

.PHONY: build test lint run clean

build:
	cmake -B $(BUILD) -DCMAKE_BUILD_TYPE=Release -DHEATHFLOW_TESTS=OFF
	cmake --build $(BUILD) -j$(JOBS)

test:
	cmake -B $(BUILD)-test -DCMAKE_BUILD_TYPE=Release -DHEATHFLOW_TESTS=ON
	cmake --build $(BUILD)-test -j$(JOBS)
	ctest --test-dir $(BUILD)-test --output-on-failure -j$(JOBS)

lint:
	scripts/lint.sh

# Needs NODE_CONFIG, see README.md.
run: build
	exec $(BUILD)/heathflow

clean:
	rm -rf $(BUILD) $(BUILD)-test
