// Commits of slices: one on its way for each slice, and a new decision after its answer.
#pragma once

#include <functional>
#include <set>

#include "shards/pending_work.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

class SliceCommits {
 public:
  static constexpr std::size_t kMaxInFlight = 16;

  SliceCommits(WatchCache& cache, PendingWork& work) : cache_(cache), work_(work) {}

  /// `on_refused`: called when the state service did not execute the commit, being over its rate.
  void commit(const SliceKey& key, Transaction txn, std::function<void()> on_refused = {});
  /// False: so many wait for the state service, or for the budget, that further decisions are
  /// better taken later, when more of each slice has come together.
  [[nodiscard]] bool has_room() const { return in_flight_.size() < kMaxInFlight; }
  [[nodiscard]] bool in_flight(const SliceKey& key) const { return in_flight_.contains(key); }

 private:
  WatchCache& cache_;
  PendingWork& work_;
  std::set<SliceKey> in_flight_;
};

}  // namespace marblevale
