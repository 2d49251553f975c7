#include "leader/shard_assigner.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>
#include <vector>

namespace marblevale {

namespace {
constexpr Duration kReconcileInterval{500};
/// How long a home node must have been alive before a shard that works elsewhere returns to it.
constexpr Duration kMinHomeUptime{6'000};
/// A leader keeps its own shard for this long before it hands it to another controller of its zone:
/// where leaders change again and again, shards would move with each.
constexpr Duration kLeaderKeepsShard{20'000};
/// The home node can't tell whether its workers reach it again but by being given the shard, and
/// each try costs its machines some of their leases. So the length of an absence backs off.
constexpr Duration kFirstAbsence{45'000};
constexpr Duration kMaxAbsence{180'000};
/// Within this time after an absence has begun, the next one is twice as long.
constexpr Duration kRelapseWindow{300'000};
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

void ShardAssigner::note_misrouted_heartbeat(const ZoneId& zone, const NodeId& witness) {
  misrouted_heartbeats_[zone] = {witness, clock_.steady()};
  timer_.start(Duration{0});
}

void ShardAssigner::reconcile() {
  timer_.start(kReconcileInterval);
  if (!election_.holds_fresh_lease()) return;
  if (term_ != election_.term()) begin_term();
  track_live_nodes();
  for (const ZoneId& zone : settings_.zones) {
    if (!commits_in_flight_.contains(zone)) assign(zone);
  }
}

void ShardAssigner::begin_term() {
  term_ = election_.term();
  leading_since_ = clock_.steady();
  // Between two terms nobody has watched the controllers.
  node_lives_.clear();
}

void ShardAssigner::track_live_nodes() {
  const auto& nodes = cache_.records().nodes;
  // A controller that was cut off and is back begins anew, though its incarnation is the same.
  std::erase_if(node_lives_, [&](const auto& entry) { return !nodes.contains(entry.first); });
  for (const auto& [node, stored] : nodes) {
    NodeLife& life = node_lives_[node];
    if (life.incarnation != stored.record.incarnation) {
      life = {stored.record.incarnation, clock_.steady()};
    }
  }
}

void ShardAssigner::assign(const ZoneId& zone) {
  const Records& records = cache_.records();
  const auto it = records.shards.find(zone);
  const Versioned<ShardRecord>* current = it == records.shards.end() ? nullptr : &it->second;
  const ShardRecord* held = current == nullptr ? nullptr : &current->record;
  const auto holder = choose_holder(zone, held);
  if (!holder) return;
  const NodeRecord& node = records.nodes.at(*holder).record;
  if (held != nullptr && held->holder == *holder && held->incarnation == node.incarnation) return;
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

std::optional<NodeId> ShardAssigner::choose_holder(const ZoneId& zone, const ShardRecord* held) {
  const SteadyTime now = clock_.steady();
  const bool holder_alive =
      held != nullptr && cache_.records().alive(held->holder, held->incarnation);
  if (auto witness = take_witness(zone, held, now)) return witness;

  if (auto home = home_node(zone, held); home && !is_absent(zone, now)) {
    if (!holder_alive || held->holder == *home) return home;
    const bool newly_leading = held->holder == settings_.node && zone == settings_.zone &&
                               now - leading_since_ < kLeaderKeepsShard;
    if (!newly_leading && now - node_lives_[*home].alive_since > kMinHomeUptime) return home;
  }
  if (holder_alive) return held->holder;
  return least_loaded_node(zone);
}

std::optional<NodeId> ShardAssigner::take_witness(const ZoneId& zone, const ShardRecord* held,
                                                  SteadyTime now) {
  const auto it = misrouted_heartbeats_.find(zone);
  if (it == misrouted_heartbeats_.end() || now - it->second.noted_at >= kMisroutedHeartbeatMaxAge) {
    return std::nullopt;
  }
  std::optional<NodeId> witness = std::move(it->second.witness);
  misrouted_heartbeats_.erase(it);
  const bool alive = cache_.records().nodes.contains(*witness);
  if (!alive || held == nullptr || held->holder == *witness) return std::nullopt;
  begin_absence(zone, now);
  return witness;
}

std::optional<NodeId> ShardAssigner::home_node(const ZoneId& zone, const ShardRecord* held) const {
  // A leader has work enough: it holds its zone's shard only as the zone's only live controller.
  const auto& live_nodes = cache_.records().nodes;
  std::vector<NodeId> zone_nodes;
  if (settings_.zone == zone) zone_nodes.push_back(settings_.node);
  for (const Peer& peer : settings_.peers) {
    if (peer.zone == zone) zone_nodes.push_back(peer.node);
  }
  const auto rank = [&](const NodeId& node) {
    const bool is_leader = node == settings_.node;
    const bool is_holder = held != nullptr && held->holder == node;
    return std::make_tuple(is_leader, !is_holder, node);
  };
  std::optional<NodeId> best;
  for (const NodeId& node : zone_nodes) {
    if (!live_nodes.contains(node)) continue;
    if (!best || rank(node) < rank(*best)) best = node;
  }
  return best;
}

bool ShardAssigner::is_absent(const ZoneId& zone, SteadyTime now) const {
  const auto absence = absences_.find(zone);
  return absence != absences_.end() && now - absence->second.since <= absence->second.length;
}

void ShardAssigner::begin_absence(const ZoneId& zone, SteadyTime now) {
  const auto last = absences_.find(zone);
  const bool relapse = last != absences_.end() && now - last->second.since < kRelapseWindow;
  const Duration length = relapse ? std::min(last->second.length * 2, kMaxAbsence) : kFirstAbsence;
  absences_[zone] = {now, length};
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
