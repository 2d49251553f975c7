/// Commits of slices: at most one in flight for each slice, and a reconciliation after its result.
#pragma once

#include <functional>
#include <set>

#include "shards/pending_work.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Owns which slices have a commit in flight.
class SliceCommits {
 public:
  static constexpr std::size_t kMaxInFlight = 16;

  SliceCommits(WatchCache& cache, PendingWork& work) : cache_(cache), work_(work) {}

  /// `on_rate_limited`: called when the commit was not executed because of the write rate.
  void commit(const SliceKey& key, Transaction txn, std::function<void()> on_rate_limited = {});
  /// False while so many commits wait for the state service, or for the write budget, that further
  /// reconciliations are better deferred: they then share a commit with later changes.
  [[nodiscard]] bool has_capacity() const { return in_flight_.size() < kMaxInFlight; }
  [[nodiscard]] bool in_flight(const SliceKey& key) const { return in_flight_.contains(key); }

 private:
  WatchCache& cache_;
  PendingWork& work_;
  std::set<SliceKey> in_flight_;
};

}  // namespace marblevale
