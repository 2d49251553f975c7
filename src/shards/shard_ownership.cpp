#include "shards/shard_ownership.hpp"

#include <spdlog/spdlog.h>

namespace marblevale {

namespace {
/// Each renewal costs a write with the priority of leases.
constexpr Duration kMinRenewalInterval{8'000};
}  // namespace

ShardOwnership::ShardOwnership(const ShardContext& context, Election& election, ShardEvents events)
    : context_(context), election_(election), events_(std::move(events)) {}

FencingToken ShardOwnership::token_of(const ZoneId& zone) const {
  const auto& shards = context_.cache.records().shards;
  const auto it = shards.find(zone);
  return it == shards.end() ? FencingToken{} : FencingToken(it->second.mod_revision.get());
}

FencingToken ShardOwnership::first_token_of(const ZoneId& zone) const {
  const auto it = first_tokens_.find(zone);
  return it == first_tokens_.end() ? FencingToken{} : it->second;
}

ShardOwnership::Ownership ShardOwnership::ownership(const ZoneId& zone) const {
  const auto& shards = context_.cache.records().shards;
  const auto it = shards.find(zone);
  if (it == shards.end()) return Ownership::none;
  const ShardRecord& shard = it->second.record;
  if (shard.holder != context_.settings.node || shard.incarnation != election_.incarnation()) {
    return Ownership::none;
  }
  // The previous holder's commits must be in the cache before heartbeats are evaluated.
  return context_.cache.revision().get() >= it->second.mod_revision.get() ? Ownership::held
                                                                          : Ownership::catching_up;
}

std::set<ZoneId> ShardOwnership::held_zones() const {
  std::set<ZoneId> zones;
  for (const auto& [zone, token] : tokens_) {
    if (holds(zone)) zones.insert(zone);
  }
  return zones;
}

void ShardOwnership::fence(Transaction& txn, const ZoneId& zone) const {
  txn.guard(keys::shard(zone), ModRevision(token_of(zone).get()));
}

void ShardOwnership::refresh() {
  for (const auto& [zone, stored] : context_.cache.records().shards) {
    const ShardRecord& shard = stored.record;
    const bool of_earlier_incarnation =
        shard.holder == context_.settings.node && shard.incarnation != election_.incarnation();
    if (of_earlier_incarnation && election_.shard_lease_id() != LeaseId{}) renew_token(zone);
    if (NodeId& last = last_holders_[zone]; last != shard.holder) {
      last = shard.holder;
      events_.holder_changed(zone);
    }
    switch (ownership(zone)) {
      case Ownership::none:
        drop_token(zone);
        break;
      case Ownership::catching_up:
        break;
      case Ownership::held:
        update_token(zone, FencingToken(stored.mod_revision.get()));
        break;
    }
  }
}

void ShardOwnership::drop_token(const ZoneId& zone) {
  if (tokens_.erase(zone) == 0) return;
  events_.lost(zone);
  spdlog::info("shard_holder: shard_lost zone={}", zone.get());
}

void ShardOwnership::update_token(const ZoneId& zone, FencingToken token) {
  const bool is_new = tokens_.insert_or_assign(zone, token).second;
  if (!is_new) return;
  first_tokens_[zone] = token;
  spdlog::info("shard_holder: shard_acquired zone={} token={}", zone.get(), token.get());
  events_.acquired(zone);
}

void ShardOwnership::renew_requested_tokens(SteadyTime now) {
  for (const ZoneId& zone : requested_renewals_) {
    if (!holds(zone)) continue;
    SteadyTime& last = last_renewed_at_[zone];
    if (now - last < kMinRenewalInterval) continue;
    last = now;
    renew_token(zone);
  }
  std::erase_if(requested_renewals_, [&](const ZoneId& zone) {
    const auto last = last_renewed_at_.find(zone);
    return last != last_renewed_at_.end() && last->second == now;
  });
}

void ShardOwnership::renew_token(const ZoneId& zone) {
  const auto& shards = context_.cache.records().shards;
  const auto it = shards.find(zone);
  if (it == shards.end() || renewals_in_flight_.contains(zone)) return;
  renewals_in_flight_.insert(zone);
  const std::string key = keys::shard(zone);
  Transaction txn;
  txn.guard(key, it->second.mod_revision);
  txn.put(key,
          encode(ShardRecord{zone, context_.settings.node, election_.incarnation(),
                             it->second.record.generation + 1}),
          election_.shard_lease_id());
  context_.cache.commit(RequestPriority::lease, std::move(txn), [this, zone](const CommitResult&) {
    renewals_in_flight_.erase(zone);
    events_.renewal_answered();
  });
}

}  // namespace marblevale
