# Each target installs what is missing, builds, and does the job that its name says.
BUILD_DIR ?= build
JOBS ?= $(shell nproc)
CMAKE_FLAGS ?= -DCMAKE_BUILD_TYPE=RelWithDebInfo

.PHONY: all install build run test bench soak lint format clean

all: build

install:
	@.ci/install

build: install
	@cmake -S . -B $(BUILD_DIR) -G Ninja $(CMAKE_FLAGS) > /dev/null
	@cmake --build $(BUILD_DIR) -j $(JOBS)

run: build
	@BUILD_DIR=$(BUILD_DIR) scripts/run-cell.sh

test: build
	@cd $(BUILD_DIR) && ctest --output-on-failure -j $(JOBS)

bench: build
	@BUILD_DIR=$(BUILD_DIR) scripts/measure-path.sh
	@mkdir -p $(BUILD_DIR)/bench-log && $(BUILD_DIR)/bench/bench_log --folder $(BUILD_DIR)/bench-log
	@$(BUILD_DIR)/bench/bench_net
	@$(BUILD_DIR)/bench/bench_routing
	@$(BUILD_DIR)/bench/bench_workflow
	@$(BUILD_DIR)/bench/bench_placement --commit $$(git rev-parse --short HEAD)

# Bounded: 100,000 schedules of the replicated log on all processors, 2,000 of the schedulers, 400 of the workflows and 50 runs
# of real processes, with printed first seeds.
soak: build
	@echo "first seed 1"; HICKORYKNOT_SCHEDULE_SEED=1 HICKORYKNOT_SCHEDULES=100000 $(BUILD_DIR)/tests/test_consensus
	@SEEDS=2000 FIRST_SEED=1 $(BUILD_DIR)/tests/test_scheduler
	@SEEDS=400 FIRST_SEED=1 $(BUILD_DIR)/tests/test_workflow
	@SEEDS=50 FIRST_SEED=1 $(BUILD_DIR)/tests/test_soak

lint: build
	@BUILD_DIR=$(BUILD_DIR) .ci/lint

format:
	@git ls-files -co --exclude-standard '*.h' '*.cpp' | xargs clang-format -i

clean:
	@rm -rf $(BUILD_DIR)
