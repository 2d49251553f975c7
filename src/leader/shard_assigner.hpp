/// The leader's assignment of shards to controllers.
///
/// A shard is the machines of one zone. Its holder should be a controller of that zone (the home
/// node), so that a zone that is cut off from the others keeps a reachable holder. The leader
/// assigns a shard elsewhere when its home node is dead, or when workers of the zone reach another
/// controller instead of the holder (misrouted heartbeats). After a move because of misrouted
/// heartbeats, the return to the home node (failback) is delayed. The delay doubles when such a
/// move is repeated soon after the last one.
///
/// The assignment is a compare-and-swap on the shard's record under the leader's term. The new
/// revision fences off the former holder.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "config/settings.hpp"
#include "election/election.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Keeps the controllers' uptimes and the failback delays in memory only, so a new leader starts
/// without them.
class ShardAssigner {
 public:
  ShardAssigner(Loop& loop, const Clock& clock, const Settings& settings, WatchCache& cache,
                Election& election);

  /// Starts the timer. Assigns nothing while this controller is not the leader.
  void begin();
  /// Records that the controller `receiver` gets heartbeats from workers of the zone that can't
  /// reach the shard's holder.
  void note_misrouted_heartbeat(const ZoneId& zone, const NodeId& receiver);

 private:
  struct MisroutedHeartbeat {
    NodeId receiver;
    SteadyTime noted_at;
  };
  /// Since when this leader has seen the controller alive in the same incarnation.
  struct NodeUptime {
    ProcessIncarnation incarnation;
    SteadyTime alive_since;
  };
  /// For how long a shard does not return to its home node after a move because of misrouted
  /// heartbeats.
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

  /// The controller that should hold the zone's shard, or nothing when no controller is alive.
  /// `shard` is the current record, or nullptr.
  [[nodiscard]] std::optional<NodeId> choose_holder(const ZoneId& zone, const ShardRecord* shard);
  /// Removes the zone's misrouted heartbeat if it is recent. Returns its receiver when the shard
  /// must move there, and begins the failback delay.
  std::optional<NodeId> take_heartbeat_receiver(const ZoneId& zone, const ShardRecord* shard,
                                                SteadyTime now);
  [[nodiscard]] std::optional<NodeId> home_node(const ZoneId& zone, const ShardRecord* shard) const;
  [[nodiscard]] bool is_failback_delayed(const ZoneId& zone, SteadyTime now) const;
  void begin_failback_delay(const ZoneId& zone, SteadyTime now);
  /// The live controller that holds the fewest other shards, or nothing when none is alive.
  [[nodiscard]] std::optional<NodeId> least_loaded_node(const ZoneId& zone) const;

  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  Election& election_;
  ModRevision term_;  // the term of `leading_since_` and `node_uptimes_`
  SteadyTime leading_since_{};
  std::map<NodeId, NodeUptime> node_uptimes_;
  std::map<ZoneId, MisroutedHeartbeat> misrouted_heartbeats_;
  std::map<ZoneId, FailbackDelay> failback_delays_;
  std::set<ZoneId> commits_in_flight_;
  Timer timer_;
};

}  // namespace marblevale
