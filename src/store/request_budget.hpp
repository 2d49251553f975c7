// Keeps this node's requests within its share of the state service's published rates. The share
// adapts to the load of this node and of the other nodes.
#pragma once

#include "config/store_limits.hpp"
#include "core/time.hpp"
#include "net/rate_limit.hpp"
#include "store/request_priority.hpp"

namespace marblevale {

/// An adaptive rate limit. A node starts with an equal share of the published rates. It raises its
/// rates step by step while requests wait, and reduces them after a reply of 429. Thus the shares
/// follow the load: the leader and busy shard holders use what idle nodes leave. A reply of 429 is
/// safe, because the request was not executed.
class RequestBudget {
 public:
  /// `limits` must outlive the budget.
  explicit RequestBudget(const StoreLimits& limits);

  /// How long until the budget allows one request, or this many writes of the priority.
  [[nodiscard]] Duration wait_for_request(SteadyTime now) { return requests_.wait(now, 1); }
  [[nodiscard]] Duration wait_for_writes(SteadyTime now, double writes, RequestPriority priority);
  /// Takes one request, or this many writes, from the budget; takes nothing when it is too low.
  void take_request(SteadyTime now) { requests_.take(now, 1); }
  void take_writes(SteadyTime now, double writes, RequestPriority priority);
  /// Takes a submission's writes from the part of the write rate that submissions may use. Returns
  /// false, and takes nothing, when that part is used up.
  [[nodiscard]] bool take_submission(SteadyTime now, double writes) {
    return submissions_.take(now, writes);
  }

  /// Records that a request waits for the budget, so that the next `adapt` raises the rate.
  void mark_short_of_requests() { short_of_requests_ = true; }
  void mark_short_of_writes() { short_of_writes_ = true; }
  /// Raises the rates that were marked as short since the last call.
  void adapt();
  /// Lowers the request rate after a reply of 429, and the write rate too if the request has
  /// writes. Replies within half of `kAdaptInterval` count once.
  void reduce(SteadyTime now, bool writes);
  /// Adapts the rates to `limits` after these were lowered.
  void apply_lowered_limits();

  /// The share of the write budget that is unused, from 0 to 1; 0 shortly after a reply of 429.
  [[nodiscard]] double write_slack(SteadyTime now);

  static constexpr Duration kAdaptInterval{500};

 private:
  [[nodiscard]] double equal_share(double rate) const;
  /// By how many writes a request of this priority may overdraw the budget.
  [[nodiscard]] double write_credit(RequestPriority priority) const;

  const StoreLimits& limits_;
  TokenBucket requests_;
  TokenBucket writes_;
  TokenBucket submissions_;
  bool short_of_requests_ = false;  // since the last `adapt`
  bool short_of_writes_ = false;
  SteadyTime last_reduced_ = kLongAgo;
};

}  // namespace marblevale
