#include "tests/process/child_process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>

namespace pimentoferry::process_tests {

namespace {

constexpr std::chrono::milliseconds poll_interval{5};
constexpr mode_t output_mode = 0644;

} // namespace

child_process child_process::start(const std::vector<std::string>& arguments,
                                   const std::string& output_file) {
    std::vector<char*> argv;
    std::ranges::transform(arguments, std::back_inserter(argv),
                           [](const std::string& argument) {
                               return const_cast<char*>(argument.c_str());
                           });
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, output_file.c_str(),
        O_WRONLY | O_CREAT | O_APPEND, output_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = 0;
    const int error = posix_spawn(&pid, argv.front(), &actions, nullptr,
                                  argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    return child_process{error == 0 ? pid : 0};
}

child_process::child_process(child_process&& other) noexcept
    : pid_{std::exchange(other.pid_, 0)}, exit_{other.exit_} {}

child_process& child_process::operator=(child_process&& other) noexcept {
    std::swap(pid_, other.pid_);
    std::swap(exit_, other.exit_);
    return *this;
}

child_process::~child_process() {
    if (pid_ != 0) {
        signal(SIGCONT);
        signal(SIGKILL);
        wait(std::chrono::seconds{5});
    }
}

void child_process::signal(int number) const {
    if (pid_ != 0) {
        ::kill(pid_, number);
    }
}

std::optional<int> child_process::wait(std::chrono::milliseconds limit) {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (pid_ != 0) {
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_) {
            exit_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
            pid_ = 0;
            break;
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return exit_;
}

bool child_process::running() {
    return pid_ != 0 && !wait(std::chrono::milliseconds{0}) && pid_ != 0;
}

} // namespace pimentoferry::process_tests
