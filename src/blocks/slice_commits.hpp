// Commits of slices: one on its way for each slice, and a new decision after its answer.
#pragma once

#include <functional>
#include <set>

#include "blocks/pending_work.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

class SliceCommits {
 public:
  SliceCommits(WatchCache& cache, PendingWork& work) : cache_(cache), work_(work) {}

  /// `on_refused`: called when the state service did not execute the commit, being over its rate.
  void commit(const SliceKey& key, Txn txn, std::function<void()> on_refused = {});
  [[nodiscard]] bool in_flight(const SliceKey& key) const { return in_flight_.contains(key); }

 private:
  WatchCache& cache_;
  PendingWork& work_;
  std::set<SliceKey> in_flight_;
};

}  // namespace marblevale
