// Releases that the leader tells directly to the holder, which binds them in one commit.
#pragma once

#include <optional>
#include <vector>

#include "peers/offers.hpp"
#include "shards/answered_offers.hpp"
#include "shards/shard_context.hpp"
#include "shards/shard_ownership.hpp"
#include "shards/slice_commits.hpp"
#include "shards/task_binder.hpp"

namespace marblevale {

class ReleaseOffers {
 public:
  ReleaseOffers(const ShardContext& context, const ShardOwnership& shards, const TaskBinder& binder,
                SliceCommits& commits)
      : context_(context), shards_(shards), binder_(binder), commits_(commits) {}

  /// Binds what the leader offers, if all of it can be bound here, as soon as this copy has what
  /// the leader's had. False: nothing was committed, and nothing will be. A copy of an offer
  /// changes nothing and gets the answer of the first; where that isn't known the offer counts as
  /// taken, and the leader commits the release itself when no binding shows.
  bool accept(const ReleaseOffer& offer);
  /// Tries again what waited for the cache or the state service.
  void retry();
  void clear() { pending_.clear(); }

 private:
  /// An offer that waits for this copy to catch up, or for the state service.
  struct PendingOffer {
    ReleaseOffer offer;
    SteadyTime received_at;
  };

  bool accept_new(const ReleaseOffer& offer);
  bool bind(const PendingOffer& pending);
  /// Whether the offer was made from the records that this copy has; what it lacks or has beyond
  /// the leader's, the guards would refuse as well.
  [[nodiscard]] bool matches_records(const ReleaseOffer& offer, const SliceKey& key) const;
  [[nodiscard]] SliceRecord slice_before(const SliceKey& key, const JobSpec& job) const;
  /// Nothing when a task can't be bound here at once.
  [[nodiscard]] std::optional<SliceRecord> bind_tasks(const ReleaseOffer& offer,
                                                      const SliceKey& key,
                                                      const JobSpec& job) const;
  [[nodiscard]] Transaction make_transaction(const ReleaseOffer& offer, const SliceKey& key,
                                             const SliceRecord& slice) const;

  const ShardContext& context_;
  const ShardOwnership& shards_;
  const TaskBinder& binder_;
  SliceCommits& commits_;
  std::vector<PendingOffer> pending_;
  AnsweredOffers answered_;
};

}  // namespace marblevale
