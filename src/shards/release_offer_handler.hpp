/// Handling of release offers by the shard's holder, which binds the offered tasks in one commit.
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

/// Owns the answers given and the offers that wait for the cache to catch up.
class ReleaseOfferHandler {
 public:
  ReleaseOfferHandler(const ShardContext& context, const ShardOwnership& shards,
                      const TaskBinder& binder, SliceCommits& commits)
      : context_(context), shards_(shards), binder_(binder), commits_(commits) {}

  /// Binds the offered tasks, if all of them can be bound here, as soon as the cache has reached
  /// the revision of the leader's. A copy of an offer changes nothing and gets the first answer;
  /// where that is unknown the answer is "accepted", and the leader commits the release itself when
  /// no binding shows.
  OfferAnswer answer(const ReleaseOffer& offer);
  /// Retries the offers that wait for the cache or the state service.
  void retry_pending();
  void clear_pending() { pending_.clear(); }

 private:
  /// An offer that waits for the cache to catch up, or for the state service's rate limit.
  struct PendingOffer {
    ReleaseOffer offer;
    SteadyTime received_at;
  };

  OfferAnswer answer_new(const ReleaseOffer& offer);
  bool bind(const PendingOffer& pending);
  /// Whether the offer was made from the records that the cache has. The commit's guards enforce
  /// the same; this check saves commits that would fail.
  [[nodiscard]] bool matches_records(const ReleaseOffer& offer, const SliceKey& key) const;
  /// The slice's record, or that of a slice without a released task yet.
  [[nodiscard]] SliceRecord current_slice(const SliceKey& key, const JobSpec& job) const;
  /// Nothing when a task cannot be bound here at once.
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
  AnsweredOffers answered_offers_;
};

}  // namespace marblevale
