// The state service's client: reads, guarded commits, leases and watches, each with a deadline,
// within this node's share of the published rates. What matters more goes first.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "config/store_limits.hpp"
#include "core/ids.hpp"
#include "net/http_client.hpp"
#include "net/rate_limit.hpp"

namespace marblevale {

/// A condition of a transaction: the key is still at this revision.
struct Guard {
  std::string key;
  ModRevision mod_revision;  // 0: the key does not exist

  bool operator==(const Guard&) const = default;
};

struct Put {
  std::string key;
  std::string value;  // JSON
  LeaseId lease_id{};
};

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

/// What became of a request. `unknown`: it may have been executed, or may still be.
enum class Outcome { done, conflict, refused, lease_expired, unknown };

struct CommitResult {
  Outcome outcome = Outcome::unknown;
  Revision revision;
  std::vector<std::string> failed;
};

struct Entry {
  std::string key;
  std::string value;  // JSON
  ModRevision mod_revision;
};

struct ReadResult {
  enum class Kind { found, absent, failed } kind = Kind::failed;
  std::optional<Entry> entry;  // with `found`
};

/// One page of a range read.
struct RangePage {
  std::vector<Entry> entries;
  bool has_next = false;
  Revision revision;
};

struct Change {
  std::string key;
  std::optional<std::string> value;  // none: deleted
  ModRevision mod_revision;
};

struct WatchResult {
  enum class Kind { changes, too_old, failed } kind = Kind::failed;
  std::vector<Change> changes;
  Revision revision;
};

struct LeaseResult {
  Outcome outcome = Outcome::unknown;
  LeaseId lease_id;
};

/// Classes of requests, the most important first. `service_binding`: releases, bindings and ends
/// of service jobs, which are few, and down until they are written. Submissions go before the
/// other bindings, within a share. `record`: what only quality depends on, dropped under pressure.
enum class RequestPriority {
  lease,
  service_binding,
  submission,
  binding,
  leader_commit,
  read,
  record
};
inline constexpr std::size_t kRequestPriorities = 7;

/// What shows that the announced limits are in force.
enum class LimitsEvidence { refused_commit, compact_record };

/// The interface that the slices use, so that tests can script the state service.
class Store {
 public:
  virtual ~Store() = default;
  virtual void read(const std::string& key, std::function<void(ReadResult)> then) = 0;
  virtual void range(const std::string& prefix, const std::string& after,
                     std::function<void(std::optional<RangePage>)> then) = 0;
  virtual void commit(RequestPriority rank, Transaction txn,
                      std::function<void(CommitResult)> then) = 0;
  virtual void watch(const std::string& prefix, Revision after, Duration hold,
                     std::function<void(WatchResult)> then) = 0;
  virtual void create_lease(Duration ttl, std::function<void(LeaseResult)> then) = 0;
  virtual void renew_lease(LeaseId lease_id, std::function<void(LeaseResult)> then) = 0;
  /// What is in force; changes when the announced limits come.
  [[nodiscard]] virtual const StoreLimits& limits() const = 0;
  /// The announced limits are in force, by something other than an own refused commit.
  virtual void lower_limits(LimitsEvidence evidence) = 0;
  /// How much of the budget for writes is to spare, from 0 to 1.
  [[nodiscard]] virtual double write_slack() = 0;
};

/// What the service's reply to a commit says; `unknown` for one that can't be read.
CommitResult parse_commit_reply(const HttpReply& reply);

/// True when a value of the transaction is larger than the announced limit and still within
/// `limits`: a refusal by 400 then says that the announced limits are in force.
bool exceeds_announced(const Transaction& txn, const StoreLimits& limits);

class StoreClient : public Store {
 public:
  StoreClient(Loop& loop, const Clock& clock, const Address& at, StoreLimits limits);

  void read(const std::string& key, std::function<void(ReadResult)> then) override;
  void range(const std::string& prefix, const std::string& after,
             std::function<void(std::optional<RangePage>)> then) override;
  void commit(RequestPriority rank, Transaction txn,
              std::function<void(CommitResult)> then) override;
  void watch(const std::string& prefix, Revision after, Duration hold,
             std::function<void(WatchResult)> then) override;
  void create_lease(Duration ttl, std::function<void(LeaseResult)> then) override;
  void renew_lease(LeaseId lease_id, std::function<void(LeaseResult)> then) override;
  [[nodiscard]] const StoreLimits& limits() const override { return limits_; }
  void lower_limits(LimitsEvidence evidence) override;
  [[nodiscard]] double write_slack() override;

 private:
  struct Job {
    HttpCall call;
    double writes = 0;
    SteadyTime expires;
    HttpHandler then;
    int again = 0;  // how often it may be repeated when the service is over its rate
  };
  void warn_if_too_large(const Transaction& txn) const;
  void send(Job job);
  void enqueue(RequestPriority rank, HttpCall call, double writes, HttpHandler then);
  void pump();
  [[nodiscard]] double equal_share(double rate) const;
  /// How many writes of this rank may be sent ahead of the budget.
  [[nodiscard]] double credit(RequestPriority rank) const;
  void adapt();
  void give_way(bool writes);

  Metrics& metrics_;
  const Clock& clock_;
  StoreLimits limits_;
  HttpClient http_;
  HttpClient lease_http_;
  HttpClient watch_http_;
  TokenBucket requests_;
  TokenBucket writes_;
  TokenBucket submissions_;
  std::array<std::deque<Job>, kRequestPriorities> queues_;
  bool short_of_requests_ = false;  // something waited for the budget since the last look
  bool short_of_writes_ = false;
  SteadyTime last_refused_ = kLongAgo;
  Timer pump_timer_;
  Timer adapt_timer_;
};

}  // namespace marblevale
