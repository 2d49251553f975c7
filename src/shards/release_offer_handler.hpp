/// Handles the leader's release offers: the shard's holder binds the offered tasks in one commit.
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

/// Owns the answers that were given, and the offers that wait for the cache or the state service.
class ReleaseOfferHandler {
 public:
  ReleaseOfferHandler(const ShardContext& context, const ShardOwnership& shards,
                      const TaskBinder& binder, SliceCommits& commits)
      : context_(context), shards_(shards), binder_(binder), commits_(commits) {}

  /// Binds the offered tasks, if all of them can be bound here, as soon as the cache has reached
  /// the revision of the leader's cache. A duplicate of an offer changes nothing and gets the first
  /// answer. When the first answer is unknown, the answer is `accepted`, and the leader commits the
  /// release itself if no binding appears.
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
  /// Whether the offer was made from the same records as the cache contains. The commit's guards
  /// enforce this as well; the check avoids commits that would fail.
  [[nodiscard]] bool matches_records(const ReleaseOffer& offer, const SliceKey& key) const;
  /// Returns the slice's record, or a new record when no task of the slice was released yet.
  [[nodiscard]] SliceRecord current_slice(const SliceKey& key, const JobSpec& job) const;
  /// Returns the slice with the offered tasks bound, or nothing when one of them cannot be bound
  /// here immediately.
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
