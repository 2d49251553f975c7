// Which shards this controller holds, with their fencing tokens, and the renewal of the tokens.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "election/election.hpp"
#include "shards/shard_context.hpp"

namespace marblevale {

/// Called while `ShardOwnership::refresh` or a commit's answer runs.
struct ShardEvents {
  std::function<void(const ZoneId&)> gained;
  std::function<void(const ZoneId&)> lost;
  /// The record names another holder than at the last refresh, whoever it is.
  std::function<void(const ZoneId&)> holder_changed;
  /// The commit of a token's renewal was answered, whatever the outcome.
  std::function<void()> renewal_answered;
};

/// Derives from the records which shards are held, and replaces the fencing token of a held shard
/// by a higher one on request.
class ShardOwnership {
 public:
  /// `settling`: ours, but what the holder before us committed may not be in the cache yet.
  enum class Holding { none, settling, held };

  ShardOwnership(const ShardContext& context, Election& election, ShardEvents events);

  /// Compares the records with what was held, and reports the differences as events.
  void refresh();
  [[nodiscard]] Holding holding(const ZoneId& zone) const;
  [[nodiscard]] bool holds(const ZoneId& zone) const { return holding(zone) == Holding::held; }
  /// As of the last refresh.
  [[nodiscard]] bool holds_any() const { return !tokens_.empty(); }
  [[nodiscard]] std::set<ZoneId> held_zones() const;
  /// The shard's token by the records, whoever holds it.
  [[nodiscard]] FencingToken token_of(const ZoneId& zone) const;
  /// The token with which the present holding of the shard began.
  [[nodiscard]] FencingToken first_token_of(const ZoneId& zone) { return first_tokens_[zone]; }
  /// Makes the transaction fail unless the shard still has the token that we know.
  void guard(Transaction& txn, const ZoneId& zone) const;

  /// This life of the controller.
  [[nodiscard]] ProcessIncarnation incarnation() const { return election_.incarnation(); }

  /// Asks for a higher token, which voids all orders that may still be on their way.
  void request_renewal(const ZoneId& zone) { renewals_requested_.insert(zone); }
  /// Commits the renewals that were asked for, as far as the pace allows.
  void renew_requested(SteadyTime now);

 private:
  void renew(const ZoneId& zone);
  void adopt(const ZoneId& zone, FencingToken token);
  void release(const ZoneId& zone);

  const ShardContext& context_;
  Election& election_;
  ShardEvents events_;
  std::map<ZoneId, FencingToken> first_tokens_;
  std::map<ZoneId, FencingToken> tokens_;  // of the shards held, as of the last refresh
  std::map<ZoneId, NodeId> last_holders_;
  std::set<ZoneId> renewals_requested_;
  std::set<ZoneId> renewals_in_flight_;
  std::map<ZoneId, SteadyTime> last_renewals_;
};

}  // namespace marblevale
