#include "shards/shard_ownership.hpp"

#include <spdlog/spdlog.h>

namespace marblevale {

namespace {
constexpr Duration kMinRenewalInterval{8'000};  // each renewal costs a write of the lease class
}  // namespace

ShardOwnership::ShardOwnership(const ShardContext& context, Election& election, ShardEvents events)
    : context_(context), election_(election), events_(std::move(events)) {}

FencingToken ShardOwnership::token_of(const ZoneId& zone) const {
  const auto& shards = context_.cache.records().shards;
  const auto it = shards.find(zone);
  return it == shards.end() ? FencingToken{} : FencingToken(it->second.mod_revision.get());
}

ShardOwnership::Holding ShardOwnership::holding(const ZoneId& zone) const {
  const auto& shards = context_.cache.records().shards;
  const auto it = shards.find(zone);
  if (it == shards.end()) return Holding::none;
  const ShardRecord& shard = it->second.record;
  if (shard.holder != context_.settings.node || shard.incarnation != election_.incarnation()) {
    return Holding::none;
  }
  // What the holder before us committed must be in the cache before we act on reports.
  return context_.cache.revision().get() >= it->second.mod_revision.get() ? Holding::held
                                                                          : Holding::settling;
}

std::set<ZoneId> ShardOwnership::held_zones() const {
  std::set<ZoneId> zones;
  for (const auto& [zone, token] : tokens_) {
    if (holds(zone)) zones.insert(zone);
  }
  return zones;
}

void ShardOwnership::guard(Transaction& txn, const ZoneId& zone) const {
  txn.guard(keys::shard(zone), ModRevision(token_of(zone).get()));
}

void ShardOwnership::refresh() {
  for (const auto& [zone, stored] : context_.cache.records().shards) {
    const ShardRecord& shard = stored.record;
    const bool earlier_life =
        shard.holder == context_.settings.node && shard.incarnation != election_.incarnation();
    if (earlier_life && election_.shard_lease_id() != LeaseId{}) renew(zone);
    if (NodeId& last = last_holders_[zone]; last != shard.holder) {
      last = shard.holder;
      events_.holder_changed(zone);
    }
    switch (holding(zone)) {
      case Holding::none:
        release(zone);
        break;
      case Holding::settling:
        break;
      case Holding::held:
        adopt(zone, FencingToken(stored.mod_revision.get()));
        break;
    }
  }
}

void ShardOwnership::release(const ZoneId& zone) {
  if (tokens_.erase(zone) == 0) return;
  events_.lost(zone);
  spdlog::info("holder: block {} is held elsewhere", zone.get());
}

void ShardOwnership::adopt(const ZoneId& zone, FencingToken token) {
  FencingToken& known = tokens_[zone];
  const bool gained = known == FencingToken{};
  known = token;
  if (!gained) return;
  first_tokens_[zone] = token;
  spdlog::info("holder: block {} is ours, token {}", zone.get(), token.get());
  events_.gained(zone);
}

void ShardOwnership::renew_requested(SteadyTime now) {
  for (const ZoneId& zone : renewals_requested_) {
    if (!holds(zone)) continue;
    SteadyTime& last = last_renewals_[zone];
    if (now - last < kMinRenewalInterval) continue;
    last = now;
    renew(zone);
  }
  std::erase_if(renewals_requested_, [&](const ZoneId& zone) {
    const auto last = last_renewals_.find(zone);
    return last != last_renewals_.end() && last->second == now;
  });
}

void ShardOwnership::renew(const ZoneId& zone) {
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
