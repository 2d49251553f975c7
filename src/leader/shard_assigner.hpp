/// The leader's assignment of shards to controllers.
///
/// A shard is the machines of one zone. Its holder should be a controller of that zone, its home
/// node, so that the machines of a zone that is cut off still have their holder. The leader assigns
/// a shard elsewhere when its home node is dead, or when workers of the zone reach another
/// controller in place of the holder (misrouted heartbeats). After such a move for cause the shard
/// is absent: it stays away from its home node for a time that doubles with each relapse.
///
/// The assignment is a compare-and-swap on the shard's record under the leader's term. Its new
/// revision fences the former holder.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "config/settings.hpp"
#include "election/election.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Keeps what it knows of controllers' lives and absences in memory only; a new leader begins anew.
class ShardAssigner {
 public:
  ShardAssigner(Loop& loop, const Clock& clock, const Settings& settings, WatchCache& cache,
                Election& election);

  /// Starts the timer. Nothing is assigned while this controller does not lead.
  void begin();
  /// The controller `witness` keeps getting heartbeats from workers of the zone that can't reach
  /// the shard's holder.
  void note_misrouted_heartbeat(const ZoneId& zone, const NodeId& receiver);

 private:
  struct MisroutedHeartbeat {
    NodeId receiver;
    SteadyTime noted_at;
  };
  /// Since when this leader has seen the controller alive, in one incarnation.
  struct NodeUptime {
    ProcessIncarnation incarnation;
    SteadyTime alive_since;
  };
  /// For how long a shard stays away from its home node after a move for cause.
  struct FailbackDelay {
    SteadyTime since;
    Duration length{};
  };

  void reconcile();
  void begin_term();
  void track_live_nodes();
  void assign(const ZoneId& zone);
  void commit_assignment(const ZoneId& zone, const Versioned<ShardRecord>* current,
                         const NodeId& holder, ProcessIncarnation incarnation, LeaseId lease);

  /// The controller that should hold the zone's shard; none when none is alive.
  [[nodiscard]] std::optional<NodeId> choose_holder(const ZoneId& zone, const ShardRecord* shard);
  /// The witness of recent misrouted heartbeats, if the shard is to move to it.
  std::optional<NodeId> take_heartbeat_receiver(const ZoneId& zone, const ShardRecord* shard,
                                                SteadyTime now);
  [[nodiscard]] std::optional<NodeId> home_node(const ZoneId& zone, const ShardRecord* shard) const;
  [[nodiscard]] bool is_failback_delayed(const ZoneId& zone, SteadyTime now) const;
  void begin_failback_delay(const ZoneId& zone, SteadyTime now);
  /// The live controller that holds the fewest other shards.
  [[nodiscard]] std::optional<NodeId> least_loaded_node(const ZoneId& zone) const;

  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  Election& election_;
  ModRevision term_;  // of which `leading_since_` and `node_uptimes_` are
  SteadyTime leading_since_{};
  std::map<NodeId, NodeUptime> node_uptimes_;
  std::map<ZoneId, MisroutedHeartbeat> misrouted_heartbeats_;
  std::map<ZoneId, FailbackDelay> failback_delays_;
  std::set<ZoneId> commits_in_flight_;
  Timer timer_;
};

}  // namespace marblevale
