#include "pimentoferry/cli/fatal_signals.hpp"

#include <elf.h>
#include <link.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <bit>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <span>
#include <string>

namespace pimentoferry::cli {

namespace {

struct fatal_signal {
    int number_;
    std::string_view name_;
};

constexpr std::array<fatal_signal, 5> fatal_signals{{{SIGSEGV, "SIGSEGV"},
                                                     {SIGBUS, "SIGBUS"},
                                                     {SIGFPE, "SIGFPE"},
                                                     {SIGILL, "SIGILL"},
                                                     {SIGABRT, "SIGABRT"}}};

constexpr std::size_t max_line_bytes = 256;
constexpr std::size_t handler_stack_bytes = std::size_t{64} << 10;

/// The lines are made before a signal arrives: a handler may not allocate.
struct prepared_line {
    std::array<char, max_line_bytes> text_{};
    std::size_t size_{0};
};

std::array<prepared_line, fatal_signals.size()>& lines() {
    static std::array<prepared_line, fatal_signals.size()> prepared;
    return prepared;
}

std::string to_hex(std::span<const unsigned char> bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bits_per_digit = 4;
    constexpr unsigned digit_mask = 0xF;
    std::string text;
    std::ranges::for_each(bytes, [&](unsigned char byte) {
        text += digits[byte >> bits_per_digit];
        text += digits[byte & digit_mask];
    });
    return text;
}

/// The build id in one segment of notes; empty if it has none.
std::string find_build_id(std::span<const unsigned char> notes) {
    constexpr std::size_t alignment = 4;
    const auto aligned = [](std::size_t size) {
        return (size + alignment - 1) / alignment * alignment;
    };
    while (notes.size() >= sizeof(ElfW(Nhdr))) {
        ElfW(Nhdr) head{};
        std::memcpy(&head, notes.data(), sizeof head);
        const auto text_at = sizeof head + aligned(head.n_namesz);
        const auto size = text_at + aligned(head.n_descsz);
        if (size > notes.size()) {
            break;
        }
        if (head.n_type == NT_GNU_BUILD_ID) {
            return to_hex(notes.subspan(text_at, head.n_descsz));
        }
        notes = notes.subspan(size);
    }
    return {};
}

// The first object is the program itself.
int read_build_id(dl_phdr_info* info, std::size_t /*size*/, void* out) {
    const std::span headers{info->dlpi_phdr, info->dlpi_phnum};
    auto& id = *static_cast<std::string*>(out);
    std::ranges::for_each(headers, [&](const ElfW(Phdr) & header) {
        if (header.p_type == PT_NOTE && id.empty()) {
            // The address of a loaded segment.
            const auto* notes = std::bit_cast<const unsigned char*>(
                info->dlpi_addr + header.p_vaddr);
            id = find_build_id({notes, header.p_memsz});
        }
    });
    return 1;
}

std::string build_id() {
    std::string id;
    dl_iterate_phdr(read_build_id, &id);
    return id.empty() ? "unknown" : id;
}

// Restricted to what is safe in a signal handler.
extern "C" void report_and_end(int number) {
    for (std::size_t i = 0; i < fatal_signals.size(); ++i) {
        if (fatal_signals.at(i).number_ == number) {
            const auto& line = lines().at(i);
            [[maybe_unused]] const auto written =
                write(STDOUT_FILENO, line.text_.data(), line.size_);
        }
    }
    // The action has been reset to the default one.
    raise(number);
}

} // namespace

void report_fatal_signals(std::string_view version) {
    static std::array<char, handler_stack_bytes> stack;
    stack_t handler_stack{};
    handler_stack.ss_sp = stack.data();
    handler_stack.ss_size = stack.size();
    sigaltstack(&handler_stack, nullptr);
    const auto build = build_id();
    for (std::size_t i = 0; i < fatal_signals.size(); ++i) {
        const auto& each = fatal_signals.at(i);
        auto& line = lines().at(i);
        const auto text = "level=critical event=fatal_signal signal=" +
                          std::string{each.name_} +
                          " version=" + std::string{version} +
                          " build=" + build + "\n";
        line.size_ = std::min(text.size(), line.text_.size());
        std::ranges::copy_n(text.begin(),
                            static_cast<std::ptrdiff_t>(line.size_),
                            line.text_.begin());
        struct sigaction action {};
        action.sa_handler = report_and_end;
        action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER |
                                           static_cast<unsigned>(SA_ONSTACK));
        sigaction(each.number_, &action, nullptr);
    }
}

} // namespace pimentoferry::cli
