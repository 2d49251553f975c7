/// Tracks which shards this controller holds and under which fencing tokens, and renews the tokens.
///
/// A shard is fenced in two places. `ShardOwnership::fence` makes a commit conditional on the
/// shard's token, so that a replaced holder's commit fails. Every order carries the token, and a
/// worker refuses an order with a lower token than the highest that it has seen.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "election/election.hpp"
#include "shards/shard_context.hpp"

namespace marblevale {

/// Callbacks that are called within `ShardOwnership::refresh` or when the commit of a token's
/// renewal is answered.
struct ShardEvents {
  std::function<void(const ZoneId&)> acquired;
  std::function<void(const ZoneId&)> lost;
  /// The shard's record names another holder than at the last refresh. The new holder may be this
  /// controller or another one.
  std::function<void(const ZoneId&)> holder_changed;
  /// The commit of a token's renewal was answered, with any outcome.
  std::function<void()> renewal_answered;
};

/// Derives from the records which shards are held, and replaces the fencing token of a held shard
/// by a higher one on request.
class ShardOwnership {
 public:
  enum class Ownership {
    none,
    catching_up,  // owned, but the cache may lack commits of the previous holder
    held
  };

  ShardOwnership(const ShardContext& context, Election& election, ShardEvents events);

  /// Compares the records with the last refresh, and reports the differences as events. Takes over
  /// the shards of an earlier incarnation of this controller by renewing their tokens.
  void refresh();
  [[nodiscard]] Ownership ownership(const ZoneId& zone) const;
  [[nodiscard]] bool holds(const ZoneId& zone) const { return ownership(zone) == Ownership::held; }
  /// Whether any shard was held at the last refresh.
  [[nodiscard]] bool holds_any() const { return !tokens_.empty(); }
  [[nodiscard]] std::set<ZoneId> held_zones() const;
  /// Returns the shard's fencing token in the records, regardless of which controller holds the
  /// shard; zero for an unknown zone.
  [[nodiscard]] FencingToken token_of(const ZoneId& zone) const;
  /// The fencing token under which this controller acquired the shard; renewals do not change it.
  [[nodiscard]] FencingToken first_token_of(const ZoneId& zone) const;
  /// Fences the transaction, so that it fails unless the shard still has the token in the local
  /// records.
  void fence(Transaction& txn, const ZoneId& zone) const;

  /// The incarnation of this process.
  [[nodiscard]] ProcessIncarnation incarnation() const { return election_.incarnation(); }

  /// Requests a higher fencing token, which voids all orders that are still in flight.
  void request_token_renewal(const ZoneId& zone) { requested_renewals_.insert(zone); }
  /// Commits the requested renewals of held shards whose minimum renewal interval has passed.
  void renew_requested_tokens(SteadyTime now);

 private:
  void renew_token(const ZoneId& zone);
  void update_token(const ZoneId& zone, FencingToken token);
  void drop_token(const ZoneId& zone);

  const ShardContext& context_;
  Election& election_;
  ShardEvents events_;
  std::map<ZoneId, FencingToken> first_tokens_;
  std::map<ZoneId, FencingToken> tokens_;  // of the held shards, as of the last refresh
  std::map<ZoneId, NodeId> last_holders_;
  std::set<ZoneId> requested_renewals_;
  std::set<ZoneId> renewals_in_flight_;
  std::map<ZoneId, SteadyTime> last_renewed_at_;
};

}  // namespace marblevale
