// Temporary program until the library cli is merged.

#include "pimentoferry/entry/run.hpp"

int main(int argc, char** argv) {
    pimentoferry::entry::run_options options;
    options.settings_file_ = argc > 1 ? argv[1] : "";
    options.state_file_ = argc > 2 ? argv[2] : "";
    return pimentoferry::entry::run(options);
}
