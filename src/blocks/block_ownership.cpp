#include "blocks/block_ownership.hpp"

#include <spdlog/spdlog.h>

namespace marblevale {

namespace {
constexpr Duration kMinRenewalInterval{8'000};  // each renewal costs a write of the lease class
}  // namespace

BlockOwnership::BlockOwnership(const BlockContext& context, Election& election, BlockEvents events)
    : context_(context), election_(election), events_(std::move(events)) {}

FencingToken BlockOwnership::token_of(const ZoneId& zone) const {
  const auto& blocks = context_.cache.records().blocks;
  const auto it = blocks.find(zone);
  return it == blocks.end() ? FencingToken{} : FencingToken(it->second.mod_revision.get());
}

BlockOwnership::Holding BlockOwnership::holding(const ZoneId& zone) const {
  const auto& blocks = context_.cache.records().blocks;
  const auto it = blocks.find(zone);
  if (it == blocks.end()) return Holding::none;
  const BlockRecord& block = it->second.record;
  if (block.holder != context_.settings.node || block.nonce != election_.nonce()) {
    return Holding::none;
  }
  // What the holder before us committed must be in the cache before we act on reports.
  return context_.cache.revision().get() >= it->second.mod_revision.get() ? Holding::held
                                                                          : Holding::settling;
}

std::set<ZoneId> BlockOwnership::held_zones() const {
  std::set<ZoneId> zones;
  for (const auto& [zone, token] : tokens_) {
    if (holds(zone)) zones.insert(zone);
  }
  return zones;
}

void BlockOwnership::guard(Txn& txn, const ZoneId& zone) const {
  txn.guard(keys::block(zone), ModRevision(token_of(zone).get()));
}

void BlockOwnership::refresh() {
  for (const auto& [zone, stored] : context_.cache.records().blocks) {
    const BlockRecord& block = stored.record;
    const bool earlier_life =
        block.holder == context_.settings.node && block.nonce != election_.nonce();
    if (earlier_life && election_.block_lease_id() != LeaseId{}) renew(zone);
    if (NodeId& last = last_holders_[zone]; last != block.holder) {
      last = block.holder;
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

void BlockOwnership::release(const ZoneId& zone) {
  if (tokens_.erase(zone) == 0) return;
  events_.lost(zone);
  spdlog::info("holder: block {} is held elsewhere", zone.get());
}

void BlockOwnership::adopt(const ZoneId& zone, FencingToken token) {
  FencingToken& known = tokens_[zone];
  const bool gained = known == FencingToken{};
  known = token;
  if (!gained) return;
  first_tokens_[zone] = token;
  spdlog::info("holder: block {} is ours, token {}", zone.get(), token.get());
  events_.gained(zone);
}

void BlockOwnership::renew_requested(SteadyTime now) {
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

void BlockOwnership::renew(const ZoneId& zone) {
  const auto& blocks = context_.cache.records().blocks;
  const auto it = blocks.find(zone);
  if (it == blocks.end() || renewals_in_flight_.contains(zone)) return;
  renewals_in_flight_.insert(zone);
  const std::string key = keys::block(zone);
  Txn txn;
  txn.guard(key, it->second.mod_revision);
  txn.put(key,
          encode(BlockRecord{zone, context_.settings.node, election_.nonce(),
                             it->second.record.generation + 1}),
          election_.block_lease_id());
  context_.cache.commit(RequestPriority::lease, std::move(txn), [this, zone](const CommitResult&) {
    renewals_in_flight_.erase(zone);
    events_.renewal_answered();
  });
}

}  // namespace marblevale
