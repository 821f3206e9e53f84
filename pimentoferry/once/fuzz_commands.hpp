/// Test support: commands of the stateful fuzz test, their generator and their
/// execution in a `simulated_world`.
#ifndef PIMENTOFERRY_ONCE_FUZZ_COMMANDS_HPP
#define PIMENTOFERRY_ONCE_FUZZ_COMMANDS_HPP

#include "pimentoferry/once/simulated_world.hpp"

#include <rapidcheck.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace pimentoferry::once {

enum class command_kind : std::uint8_t {
    ask,
    new_key,
    pass_moment,
    pass_seconds,
    pass_window,
    leave,
    kill,
    start,
    pause,
    resume,
    drain,
    cut,
    mend,
    cut_store,
    mend_store,
    network,
    store,
    upstream,
    flip_view,
    jump_clock,
};

/// The operands are arbitrary; each is reduced to its valid range when the
/// command runs.
struct fuzz_command {
    command_kind kind_{command_kind::ask};
    std::uint32_t a_{0};
    std::uint32_t b_{0};
    std::uint32_t c_{0};
};

std::ostream& operator<<(std::ostream& out, const fuzz_command& command);

/// Parses the commands of a printed counterexample.
std::vector<fuzz_command> parse_commands(const std::string& printed);

rc::Gen<fuzz_command> command_generator();

class fuzz_run {
public:
    explicit fuzz_run(std::uint64_t seed);

    void run(const fuzz_command& command);
    /// Ends the faults, advances the time until all calls are complete, and
    /// adds a violation to the oracle for each key whose response is not
    /// permitted.
    void settle();
    [[nodiscard]] const execution_oracle& oracle() { return world_.oracle(); }

private:
    static constexpr std::size_t key_slots = 5;
    static constexpr std::size_t max_entries = 5;

    void run_entry_command(const fuzz_command& command);
    void run_fault_command(const fuzz_command& command);
    void set_network(const fuzz_command& command);
    void submit_call(const fuzz_command& command);
    key_id new_key();
    void settle_key(const key_id& key);
    std::size_t accepting_entry();
    [[nodiscard]] std::uint64_t body_of(const key_id& key) const;
    [[nodiscard]] bool may_have_run(const key_id& key) const;
    [[nodiscard]] bool may_be_expired(const key_id& key) const;
    [[nodiscard]] bool has_two_bodies(const key_id& key) const;
    /// Describes why the last response for the key is not permitted; empty if
    /// it is.
    [[nodiscard]] std::string unexpected_response(const key_id& key,
                                                  const request_record& last,
                                                  bool ran_before);

    simulated_world world_;
    std::array<key_id, key_slots> keys_;
    std::uint64_t key_count_{0};
    std::vector<base::request_id> requests_;
    base::milliseconds max_clock_offset_{0};
    bool allows_reordering_; ///< Messages may be reordered and duplicated.
    std::array<bool, 256> draining_{};
};

} // namespace pimentoferry::once

#endif
