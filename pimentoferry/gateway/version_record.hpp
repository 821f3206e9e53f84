/// Keeps `routing::recorded_versions` in the store.
///
/// A gateway that sees an instance of a version which is not recorded adds it:
/// the watchers of the store in turn, then the others. The first watcher also
/// removes versions that can have no open streams.
///
/// A store that has come back from an older copy may have lost versions. The
/// record is complete again once the gateways had time to add theirs, and the
/// first writer then records the era for which that holds under a key of its
/// own. A process that starts later trusts the record by that key.
///
///     record.update(known, in_use, now);            // about every 50 ms
///     record.versions().contains(service, version); // it may begin streams
///     auto read = co_await record.read();           // newer than this call
///
/// All functions and handlers run on the thread of the io_context.
#ifndef PIMENTOFERRY_GATEWAY_VERSION_RECORD_HPP
#define PIMENTOFERRY_GATEWAY_VERSION_RECORD_HPP

#include "pimentoferry/base/software_version.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/gateway/metrics.hpp"
#include "pimentoferry/gateway/peers.hpp"
#include "pimentoferry/gateway/store_follower.hpp"
#include "pimentoferry/http/awaitable.hpp"
#include "pimentoferry/routing/recorded_versions.hpp"
#include "pimentoferry/store/http_store.hpp"
#include "pimentoferry/store/mirror.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace pimentoferry::gateway {

/// For log lines: the versions, separated by commas; "none" without any.
std::string text_of(const std::vector<base::software_version>& versions);

class version_record {
public:
    /// `on_record` is called with each copy of the record that is taken.
    using record_handler =
        std::function<void(const routing::versions_in_use& record)>;

    version_record(boost::asio::io_context& io,
                   peers& peer_gateways,
                   store::http_store& store,
                   const store_follower& follower,
                   metrics& counters,
                   record_handler on_record)
        : io_(io), peers_(peer_gateways), store_(store), follower_(follower),
          counters_(counters), on_record_(std::move(on_record)) {}

    /// The latest known copy. What it contains was in the store.
    const routing::recorded_versions& versions() const { return recorded_; }

    /// Reads the record from the store, at a time after this call. Unset if the
    /// store does not answer in time, if it may have lost a part of the record,
    /// or if this gateway's replica does not reach as far as the record.
    http::awaitable<std::optional<routing::recorded_versions>> read();

    /// Takes over a change of the replica.
    void receive(const store::item& item);
    void receive(const store::item_removed& removed);

    /// Writes what the record lacks, see `recorded_versions::update_for`.
    void update(const routing::versions_in_use& known,
                const routing::versions_in_use& in_use,
                base::time_point now);

private:
    /// One read of the store, for all callers of `read` that came before it was
    /// sent.
    struct shared_read {
        explicit shared_read(boost::asio::io_context& io,
                             base::time_point until)
            : finished_signal_(io, until), until_(until) {}

        boost::asio::steady_timer finished_signal_;
        base::time_point until_;
        bool finished_{false};
        std::optional<routing::recorded_versions> record_;
    };

    std::shared_ptr<shared_read> next_read();
    void start_next_read(base::time_point now);
    void finish(shared_read& read, const store::result& result);
    /// Whether the answer is one of the known era of the store.
    bool is_of_this_era(const store::result& result) const;
    void take_value(const std::string& value,
                    routing::record_position position,
                    std::string_view received_by);
    /// Whether the replica has what was in the store before the record was
    /// written.
    bool reaches_record() const;
    /// The number of gateways that write before this one.
    std::size_t rank() const;
    void take(const routing::versions_in_use& record,
              routing::record_position position,
              std::string_view received_by);
    void write(routing::versions_in_use record);
    /// Whether the record has all versions that may have begun streams.
    bool is_complete() const;
    void record_era(base::time_point now);
    void finish_write(const routing::versions_in_use& record,
                      const store::result& result);

    boost::asio::io_context& io_;
    peers& peers_;
    store::http_store& store_;
    const store_follower& follower_;
    metrics& counters_;
    record_handler on_record_;
    routing::recorded_versions recorded_;
    /// The era of the store in which the record is complete; 0: none.
    store::era complete_in_{0};
    /// The latest era, and since when this process knows it.
    store::era known_era_{0};
    base::time_point known_era_since_;
    /// Not sent yet.
    std::shared_ptr<shared_read> next_read_;
    std::size_t reads_in_progress_{0};
    base::time_point last_read_;
    bool write_in_progress_{false};
    base::time_point next_write_;
    /// Since when the record differs from what is known here.
    std::optional<base::time_point> differs_since_;
};

} // namespace pimentoferry::gateway

#endif
