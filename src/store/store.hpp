// The interface of the state service, a consensus-backed key-value store: reads, compare-and-swap
// transactions, leases and watches. Tests implement it in memory.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/store_limits.hpp"
#include "core/ids.hpp"
#include "core/time.hpp"
#include "store/request_priority.hpp"

namespace marblevale {

/// A condition of a transaction: the last change of the key was at this revision.
struct Guard {
  std::string key;
  ModRevision mod_revision;  // 0: the key does not exist

  bool operator==(const Guard&) const = default;
};

struct Put {
  std::string key;
  std::string value;   // JSON
  LeaseId lease_id{};  // the key is deleted when this lease expires; 0: no lease
};

/// An atomic compare-and-swap over several keys: if every guard holds, all puts and deletes are
/// applied at one revision; otherwise none is.
struct Transaction {
  std::vector<Guard> guards;
  std::vector<Put> puts;
  std::vector<std::string> deletes;

  Transaction& guard(std::string key, ModRevision mod_revision) {
    guards.push_back({std::move(key), mod_revision});
    return *this;
  }
  Transaction& put(std::string key, std::string value, LeaseId lease_id = {}) {
    puts.push_back({std::move(key), std::move(value), lease_id});
    return *this;
  }
  Transaction& remove(std::string key) {
    deletes.push_back(std::move(key));
    return *this;
  }
};

/// The outcome of a commit or of a request about a lease.
enum class Outcome {
  done,           // executed
  conflict,       // not executed: a guard did not hold
  refused,        // not executed: over a limit, unavailable or never sent; may be retried
  lease_expired,  // not executed: the lease no longer exists
  unknown         // no readable reply: was executed, was not, or may still be executed
};

struct CommitResult {
  Outcome outcome = Outcome::unknown;
  Revision revision;                // of the store; set for `done` and `conflict`
  std::vector<std::string> failed;  // the keys whose guards did not hold
};

struct Entry {
  std::string key;
  std::string value;  // JSON
  ModRevision mod_revision;
};

struct ReadResult {
  enum class Kind { found, absent, failed } kind = Kind::failed;
  std::optional<Entry> entry;  // set for `found`
};

/// One page of a range read.
struct RangePage {
  std::vector<Entry> entries;
  bool has_next = false;
  Revision revision;  // of the store when the page was read
};

struct Change {
  std::string key;
  std::optional<std::string> value;  // empty: the key was deleted
  ModRevision mod_revision;
};

struct WatchResult {
  /// `too_old`: the store no longer keeps all changes after the requested revision.
  enum class Kind { changes, too_old, failed } kind = Kind::failed;
  std::vector<Change> changes;  // in any order, only their revisions tell which is newer
  Revision revision;            // `changes` has every change up to this revision
};

struct LeaseResult {
  Outcome outcome = Outcome::unknown;
  LeaseId lease_id;
};

/// An observation which shows that the announced limits are in force. `refused_commit`: a value
/// above the announced limit was refused. `compact_record`: a record has a compact encoding, which
/// a controller writes only after the limits have come into force.
enum class LimitsEvidence { refused_commit, compact_record };

class Store {
 public:
  virtual ~Store() = default;
  virtual void read(const std::string& key, std::function<void(ReadResult)> then) = 0;
  /// Reads a page of the keys that have the prefix and sort after `after`; calls back with no value
  /// when the read fails.
  virtual void range(const std::string& prefix, const std::string& after,
                     std::function<void(std::optional<RangePage>)> then) = 0;
  virtual void commit(RequestPriority priority, Transaction txn,
                      std::function<void(CommitResult)> then) = 0;
  /// Calls back with the changes after revision `after`: at once if there are any, otherwise when
  /// the first one is made, and after `hold` at the latest.
  virtual void watch(const std::string& prefix, Revision after, Duration hold,
                     std::function<void(WatchResult)> then) = 0;
  virtual void create_lease(Duration ttl, std::function<void(LeaseResult)> then) = 0;
  virtual void renew_lease(LeaseId lease_id, std::function<void(LeaseResult)> then) = 0;
  /// The limits in force. They change when the announced limits come into force.
  [[nodiscard]] virtual const StoreLimits& limits() const = 0;
  /// Lowers the limits to the announced ones, if any. Callers report evidence from outside of the
  /// store; the store evaluates its own commits itself.
  virtual void lower_limits(LimitsEvidence evidence) = 0;
  /// The share of the write budget that is unused, from 0 to 1.
  [[nodiscard]] virtual double write_slack() = 0;
};

/// True when a value of the transaction is larger than the announced limit but within the current
/// one. If the state service refuses such a transaction with 400, the announced limits are in
/// force.
[[nodiscard]] bool exceeds_announced_value_limit(const Transaction& txn, const StoreLimits& limits);

}  // namespace marblevale
