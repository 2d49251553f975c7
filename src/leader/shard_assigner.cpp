#include "leader/shard_assigner.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>
#include <vector>

namespace marblevale {

namespace {
constexpr Duration kReconcileInterval{500};
/// Minimum uptime of a home node before a shard with a live holder elsewhere returns to it.
constexpr Duration kMinHomeUptime{6'000};
/// A new leader keeps its own zone's shard for this long before it hands the shard to another
/// controller of the zone. Without this delay, frequent leader changes would move shards each time.
constexpr Duration kLeaderHandoverDelay{20'000};
/// The home node can find out whether its workers reach it again only by holding the shard, and
/// each attempt costs the machines part of their lease time. The failback delay therefore doubles
/// with repeated moves.
constexpr Duration kFirstFailbackDelay{45'000};
constexpr Duration kMaxFailbackDelay{180'000};
/// A move within this time after the last failback delay began doubles the delay.
constexpr Duration kRepeatedMoveWindow{300'000};
constexpr Duration kMisroutedHeartbeatMaxAge{3'000};
}  // namespace

ShardAssigner::ShardAssigner(Loop& loop, const Clock& clock, const Settings& settings,
                             WatchCache& cache, Election& election)
    : clock_(clock), settings_(settings), cache_(cache), election_(election), timer_(loop, [this] {
        reconcile();
      }) {
  cache_.listen([this](RecordKind kind, const std::string&) {
    if (kind == RecordKind::node || kind == RecordKind::shard || kind == RecordKind::leader) {
      timer_.start(Duration{0});
    }
  });
}

void ShardAssigner::begin() { timer_.start(kReconcileInterval); }

void ShardAssigner::note_misrouted_heartbeat(const ZoneId& zone, const NodeId& receiver) {
  misrouted_heartbeats_[zone] = {receiver, clock_.steady()};
  timer_.start(Duration{0});
}

void ShardAssigner::reconcile() {
  timer_.start(kReconcileInterval);
  if (!election_.leads_with_fresh_records()) return;
  if (term_ != election_.term()) begin_term();
  track_live_nodes();
  for (const ZoneId& zone : settings_.zones) {
    if (!commits_in_flight_.contains(zone)) assign(zone);
  }
}

void ShardAssigner::begin_term() {
  term_ = election_.term();
  leading_since_ = clock_.steady();
  // The controllers were not observed between the two terms.
  node_uptimes_.clear();
}

void ShardAssigner::track_live_nodes() {
  const auto& nodes = cache_.records().nodes;
  // The uptime of a controller that was cut off starts anew, even in the same incarnation.
  std::erase_if(node_uptimes_, [&](const auto& entry) { return !nodes.contains(entry.first); });
  for (const auto& [node, stored] : nodes) {
    NodeUptime& uptime = node_uptimes_[node];
    if (uptime.incarnation != stored.record.incarnation) {
      uptime = {stored.record.incarnation, clock_.steady()};
    }
  }
}

void ShardAssigner::assign(const ZoneId& zone) {
  const Records& records = cache_.records();
  const auto it = records.shards.find(zone);
  const Versioned<ShardRecord>* current = it == records.shards.end() ? nullptr : &it->second;
  const ShardRecord* shard = current == nullptr ? nullptr : &current->record;
  const auto holder = choose_holder(zone, shard);
  if (!holder) return;
  const NodeRecord& node = records.nodes.at(*holder).record;
  if (shard != nullptr && shard->holder == *holder && shard->incarnation == node.incarnation)
    return;
  commit_assignment(zone, current, *holder, node.incarnation, node.shard_lease_id);
}

void ShardAssigner::commit_assignment(const ZoneId& zone, const Versioned<ShardRecord>* current,
                                      const NodeId& holder, ProcessIncarnation incarnation,
                                      LeaseId lease) {
  spdlog::info("shards: assigned zone={} holder={}", zone.get(), holder.get());
  const auto generation = current == nullptr ? 1 : current->record.generation + 1;
  Transaction txn;
  election_.guard(txn);
  txn.guard(keys::shard(zone), current == nullptr ? ModRevision{} : current->mod_revision);
  txn.put(keys::shard(zone), encode(ShardRecord{zone, holder, incarnation, generation}), lease);
  commits_in_flight_.insert(zone);
  cache_.commit(RequestPriority::lease, std::move(txn),
                [this, zone](const CommitResult&) { commits_in_flight_.erase(zone); });
}

std::optional<NodeId> ShardAssigner::choose_holder(const ZoneId& zone, const ShardRecord* shard) {
  const SteadyTime now = clock_.steady();
  const bool holder_alive =
      shard != nullptr && cache_.records().alive(shard->holder, shard->incarnation);
  if (auto receiver = take_heartbeat_receiver(zone, shard, now)) return receiver;

  if (auto home = home_node(zone, shard); home && !is_failback_delayed(zone, now)) {
    if (!holder_alive || shard->holder == *home) return home;
    const bool newly_leading = shard->holder == settings_.node && zone == settings_.zone &&
                               now - leading_since_ < kLeaderHandoverDelay;
    if (!newly_leading && now - node_uptimes_[*home].alive_since > kMinHomeUptime) return home;
  }
  if (holder_alive) return shard->holder;
  return least_loaded_node(zone);
}

std::optional<NodeId> ShardAssigner::take_heartbeat_receiver(const ZoneId& zone,
                                                             const ShardRecord* shard,
                                                             SteadyTime now) {
  const auto it = misrouted_heartbeats_.find(zone);
  if (it == misrouted_heartbeats_.end() || now - it->second.noted_at >= kMisroutedHeartbeatMaxAge) {
    return std::nullopt;
  }
  std::optional<NodeId> receiver = std::move(it->second.receiver);
  misrouted_heartbeats_.erase(it);
  const bool alive = cache_.records().nodes.contains(*receiver);
  if (!alive || shard == nullptr || shard->holder == *receiver) return std::nullopt;
  begin_failback_delay(zone, now);
  return receiver;
}

std::optional<NodeId> ShardAssigner::home_node(const ZoneId& zone, const ShardRecord* shard) const {
  // The leader already carries the planning load, so it holds its zone's shard only when it is the
  // zone's only live controller.
  const auto& live_nodes = cache_.records().nodes;
  std::vector<NodeId> zone_nodes;
  if (settings_.zone == zone) zone_nodes.push_back(settings_.node);
  for (const Peer& peer : settings_.peers) {
    if (peer.zone == zone) zone_nodes.push_back(peer.node);
  }
  const auto rank = [&](const NodeId& node) {
    const bool is_leader = node == settings_.node;
    const bool is_holder = shard != nullptr && shard->holder == node;
    return std::make_tuple(is_leader, !is_holder, node);
  };
  std::optional<NodeId> best;
  for (const NodeId& node : zone_nodes) {
    if (!live_nodes.contains(node)) continue;
    if (!best || rank(node) < rank(*best)) best = node;
  }
  return best;
}

bool ShardAssigner::is_failback_delayed(const ZoneId& zone, SteadyTime now) const {
  const auto delay = failback_delays_.find(zone);
  return delay != failback_delays_.end() && now - delay->second.since <= delay->second.length;
}

void ShardAssigner::begin_failback_delay(const ZoneId& zone, SteadyTime now) {
  const auto last = failback_delays_.find(zone);
  const bool repeated_move =
      last != failback_delays_.end() && now - last->second.since < kRepeatedMoveWindow;
  const Duration length =
      repeated_move ? std::min(last->second.length * 2, kMaxFailbackDelay) : kFirstFailbackDelay;
  failback_delays_[zone] = {now, length};
}

std::optional<NodeId> ShardAssigner::least_loaded_node(const ZoneId& zone) const {
  const Records& records = cache_.records();
  std::optional<NodeId> best;
  std::size_t fewest = 0;
  for (const auto& [node, stored] : records.nodes) {
    std::size_t shards = 0;
    for (const auto& [other_zone, shard] : records.shards) {
      if (other_zone != zone && shard.record.holder == node) ++shards;
    }
    if (!best || shards < fewest) {
      best = node;
      fewest = shards;
    }
  }
  return best;
}

}  // namespace marblevale
