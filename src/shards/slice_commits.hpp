/// Commits of slices. Each slice has at most one commit in flight, and is reconciled after the
/// commit's result.
#pragma once

#include <functional>
#include <set>

#include "shards/pending_work.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Owns the set of slices with a commit in flight.
class SliceCommits {
 public:
  static constexpr std::size_t kMaxInFlight = 16;
  /// Service jobs go first, but the commits of one with very many replicas must not fill the
  /// memory.
  static constexpr std::size_t kMaxInFlightWithServices = 64;

  SliceCommits(WatchCache& cache, PendingWork& work) : cache_(cache), work_(work) {}

  /// Starts a commit of the slice. `on_rate_limited` is called when the commit was not executed
  /// because of the limit of the write rate.
  void commit(const SliceKey& key, Transaction txn, std::function<void()> on_rate_limited = {});
  /// Returns false while `kMaxInFlight` commits wait for the state service or for write budget.
  /// Further reconciliations are then deferred, so that they share a commit with later changes.
  [[nodiscard]] bool has_capacity() const { return in_flight_.size() < kMaxInFlight; }
  [[nodiscard]] bool has_service_capacity() const {
    return in_flight_.size() < kMaxInFlightWithServices;
  }
  [[nodiscard]] bool in_flight(const SliceKey& key) const { return in_flight_.contains(key); }

 private:
  WatchCache& cache_;
  PendingWork& work_;
  std::set<SliceKey> in_flight_;
};

}  // namespace marblevale
