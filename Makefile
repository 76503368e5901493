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

lint: build
	@BUILD_DIR=$(BUILD_DIR) .ci/lint

format:
	@git ls-files -co --exclude-standard '*.h' '*.cpp' | xargs clang-format -i

clean:
	@rm -rf $(BUILD_DIR)
