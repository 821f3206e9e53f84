# Main targets; each installs missing packages on a fresh Debian 12 machine.
BUILD := build
# Uses half of the processors, so that several work trees can build at once.
JOBS := $(shell expr $$(nproc) / 2)

.PHONY: all packages configure build test check bench demo fuzz clean

all: build

packages:
	@tools/install_packages.sh

configure: packages
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
	  -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >$(BUILD).log 2>&1 || \
	  { cat $(BUILD).log; exit 1; }
	@rm -f $(BUILD).log

build: configure
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4

check: configure
	@tools/check.sh

bench: build
	@tools/bench.sh

demo: build
	@tools/demo.sh

clean:
	@rm -rf $(BUILD)
