/// A process that a test starts, signals and waits for.
///
///     auto store = child_process::start({standins, "--role", "store"}, log);
///     store.signal(SIGKILL);
///     std::optional<int> code = store.wait(5s);
///
/// The destructor kills the process, so a failed test leaves none behind.
#ifndef PIMENTOFERRY_TESTS_PROCESS_CHILD_PROCESS_HPP
#define PIMENTOFERRY_TESTS_PROCESS_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace pimentoferry::process_tests {

class child_process {
public:
    /// Starts the program with output and errors appended to a file.
    static child_process start(const std::vector<std::string>& words,
                               const std::string& output_file);

    /// No process.
    child_process() = default;
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int number) const;

    /// The exit code, or minus the number of the signal that ended it; empty
    /// when it still runs at the limit.
    std::optional<int> wait(std::chrono::milliseconds limit);

    bool running();

private:
    explicit child_process(pid_t pid) : pid_{pid} {}

    pid_t pid_{0}; ///< 0 after the process was waited for.
    std::optional<int> exit_;
};

} // namespace pimentoferry::process_tests

#endif
