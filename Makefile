# Front end of CMake: a target for each task; builds are out of tree.
BUILD ?= build
RUNS ?= 20000
SEED ?= 1
JOBS ?= $(shell nproc)

.PHONY: all deps build check lint format demo bench fuzz leakcheck faults capacity install clean

all: build

deps:
	@sh tests/scripts/deps.sh

build: deps
	@cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD) -j $(JOBS) -- --no-print-directory

check: build
	@cd $(BUILD) && ctest --output-on-failure -j 2

lint: deps
	@sh tests/scripts/lint.sh $(BUILD)

format:
	@git ls-files '*.c' '*.h' | grep -v _xdr | xargs clang-format -i

demo: build
	@bash tests/scripts/demo.sh $(BUILD)

faults: build
	@bash tests/scripts/faults.sh $(BUILD)

bench: build
	@bash tests/scripts/bench.sh $(BUILD) $(SEED)

capacity: build
	@bash tests/scripts/capacity.sh $(BUILD) $(SEED)

fuzz: deps
	@cmake -S . -B $(BUILD)-fuzz -DIV_FUZZ=ON -DCMAKE_C_COMPILER=clang -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD)-fuzz -j $(JOBS) -- --no-print-directory
	@bash tests/scripts/fuzz.sh $(BUILD)-fuzz $(RUNS) $(SEED)

leakcheck: deps
	@cmake -S . -B $(BUILD)-asan -DIV_SANITIZE=ON -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD)-asan -j $(JOBS) -- --no-print-directory
	@cd $(BUILD)-asan && ctest --output-on-failure -j 2

install: build
	@cmake --install $(BUILD)

clean:
	@rm -rf $(BUILD) $(BUILD)-fuzz $(BUILD)-asan
