# Build, test, lint, demonstrate and run, as CI and operators do it.
JOBS ?= $(shell nproc)
BUILD ?= build

.PHONY: build test demo lint run clean packages

build:
	cmake -B $(BUILD) -DCMAKE_BUILD_TYPE=Release -DHEATHFLOW_TESTS=OFF
	cmake --build $(BUILD) -j$(JOBS)

# What is missing of the Debian packages that everything here needs.
packages:
	scripts/packages.sh

test: packages
	cmake -B $(BUILD)-test -DCMAKE_BUILD_TYPE=Release -DHEATHFLOW_TESTS=ON
	cmake --build $(BUILD)-test -j$(JOBS)
	JOBS=$(JOBS) scripts/run-tests.sh $(BUILD)-test

# Ten drivers between emulated members on loopback: a primary dies, a driver is killed, members drain.
demo: packages
	cmake -B $(BUILD)-demo -DCMAKE_BUILD_TYPE=Release -DHEATHFLOW_TESTS=OFF -DHEATHFLOW_EMULATOR=ON
	cmake --build $(BUILD)-demo -j$(JOBS) --target heathflow heathflow-emulator
	$(BUILD)-demo/heathflow-emulator run scenarios/demo.xml --out $(BUILD)-demo/results

lint:
	scripts/lint.sh

# Needs NODE_CONFIG, see README.md.
run: build
	exec $(BUILD)/heathflow

clean:
	rm -rf $(BUILD) $(BUILD)-test $(BUILD)-demo
