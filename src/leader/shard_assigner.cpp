#include "leader/shard_assigner.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace marblevale {

namespace {
constexpr Duration kReconcileInterval{500};
constexpr Duration kHomeAfter{6'000};  // a controller must have been back for this long
// A leader hands its own shard to another of its zone when its term lasts: where leaders change
// again and again, shards would move with each.
constexpr Duration kLeaderKeeps{20'000};
// Against flapping, after a move for cause. The home controller can't tell whether its workers
// reach it again but by being given the shard, and each try costs its machines some of their
// leases.
constexpr Duration kFirstAbsence{45'000};
constexpr Duration kMaxAbsence{180'000};
constexpr Duration kRelapseWindow{300'000};  // within which the next absence is twice as long
constexpr Duration kMisroutedMaxAge{3'000};
}  // namespace

ShardAssigner::ShardAssigner(Loop& loop, const Clock& clock, const Settings& settings,
                             WatchCache& cache, Election& election)
    : clock_(clock), settings_(settings), cache_(cache), election_(election), timer_(loop, [this] {
        tick();
      }) {
  cache_.listen([this](RecordKind topic, const std::string&) {
    if (topic == RecordKind::node || topic == RecordKind::shard || topic == RecordKind::leader)
      timer_.start(Duration{0});
  });
}

void ShardAssigner::begin() { timer_.start(kReconcileInterval); }

void ShardAssigner::note_misrouted_heartbeat(const ZoneId& zone, const NodeId& witness) {
  misrouted_heartbeats_[zone] = {witness, clock_.steady()};
  timer_.start(Duration{0});
}

std::optional<NodeId> ShardAssigner::home(const ZoneId& zone, const ShardRecord* held) const {
  // A living controller of the zone, so that a zone that is cut off has its holder inside. The
  // leader has work enough: it holds a shard only where it is the zone's only one.
  const auto& nodes = cache_.records().nodes;
  std::vector<NodeId> there;
  if (settings_.zone == zone) there.push_back(settings_.node);
  for (const Peer& peer : settings_.peers) {
    if (peer.zone == zone) there.push_back(peer.node);
  }
  std::optional<NodeId> best;
  for (const NodeId& node : there) {
    if (!nodes.contains(node)) continue;
    const auto rank = [&](const NodeId& n) {
      return std::make_tuple(n == settings_.node, held == nullptr || held->holder != n, n);
    };
    if (!best || rank(node) < rank(*best)) best = node;
  }
  return best;
}

void ShardAssigner::note_absence(const ZoneId& zone, SteadyTime now) {
  const auto last = absences_.find(zone);
  const bool relapse = last != absences_.end() && now - last->second.since < kRelapseWindow;
  const Duration length = relapse ? std::min(last->second.length * 2, kMaxAbsence) : kFirstAbsence;
  absences_[zone] = {now, length};
}

std::optional<NodeId> ShardAssigner::choose(const ZoneId& zone, const ShardRecord* held) {
  const auto& records = cache_.records();
  const SteadyTime now = clock_.steady();
  const auto alive = [&](const NodeId& node) { return records.nodes.contains(node); };
  const bool holder_lives = held != nullptr && records.alive(held->holder, held->incarnation);

  const auto note_misrouted_heartbeat = misrouted_heartbeats_.find(zone);
  if (note_misrouted_heartbeat != misrouted_heartbeats_.end() &&
      now - note_misrouted_heartbeat->second.second < kMisroutedMaxAge) {
    const NodeId witness = note_misrouted_heartbeat->second.first;
    misrouted_heartbeats_.erase(note_misrouted_heartbeat);
    if (alive(witness) && held != nullptr && held->holder != witness) {
      note_absence(zone, now);
      return witness;
    }
  }
  const auto home_node = home(zone, held);
  const auto absence = absences_.find(zone);
  const bool home_welcome = home_node && (absence == absences_.end() ||
                                          now - absence->second.since > absence->second.length);
  if (home_welcome && (!holder_lives || held->holder == *home_node)) return home_node;
  const bool because_we_lead = holder_lives && held->holder == settings_.node &&
                               zone == settings_.zone && now - charge_since_ < kLeaderKeeps;
  if (home_welcome && !because_we_lead && now - alive_since_[*home_node].second > kHomeAfter) {
    return home_node;
  }
  if (holder_lives) return held->holder;

  // Otherwise the living controller with the fewest shards.
  std::optional<NodeId> best;
  std::size_t fewest = 0;
  for (const auto& [node, stored] : records.nodes) {
    std::size_t shards = 0;
    for (const auto& [other, shard] : records.shards) {
      if (other != zone && shard.record.holder == node) ++shards;
    }
    if (!best || shards < fewest) {
      best = node;
      fewest = shards;
    }
  }
  return best;
}

void ShardAssigner::tick() {
  timer_.start(kReconcileInterval);
  if (!election_.holds_fresh_lease()) return;
  if (term_ != election_.term()) {
    term_ = election_.term();
    charge_since_ = clock_.steady();
    alive_since_.clear();  // nobody looked between two terms
  }
  const auto& records = cache_.records();
  // One that was cut off and is back has to stay for a while, too, though its life is the same.
  std::erase_if(alive_since_,
                [&](const auto& entry) { return !records.nodes.contains(entry.first); });
  for (const auto& [node, stored] : records.nodes) {
    auto& seen = alive_since_[node];
    if (seen.first != stored.record.incarnation)
      seen = {stored.record.incarnation, clock_.steady()};
  }
  for (const ZoneId& zone : settings_.zones) {
    if (busy_.contains(zone)) continue;
    const auto it = records.shards.find(zone);
    const ShardRecord* held = it == records.shards.end() ? nullptr : &it->second.record;
    const auto wanted = choose(zone, held);
    if (!wanted) continue;
    const NodeRecord& holder = records.nodes.at(*wanted).record;
    if (held != nullptr && held->holder == *wanted && held->incarnation == holder.incarnation)
      continue;
    spdlog::info("blocks: {} goes to {}", zone.get(), wanted->get());
    Transaction txn;
    election_.guard(txn);
    txn.guard(keys::shard(zone),
              it == records.shards.end() ? ModRevision{} : it->second.mod_revision);
    txn.put(keys::shard(zone),
            encode(ShardRecord{zone, *wanted, holder.incarnation,
                               held == nullptr ? 1 : held->generation + 1}),
            holder.shard_lease_id);
    busy_.insert(zone);
    cache_.commit(RequestPriority::lease, std::move(txn),
                  [this, zone](const CommitResult&) { busy_.erase(zone); });
  }
}

}  // namespace marblevale
