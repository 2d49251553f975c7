// The leader's leasing of machine shards: one shard per zone, by default to the zone's controller.
#pragma once

#include <map>
#include <set>

#include "config/settings.hpp"
#include "election/election.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

class ShardAssigner {
 public:
  ShardAssigner(Loop& loop, const Clock& clock, const Settings& settings, WatchCache& cache,
                Election& election);

  void begin();
  /// `witness` keeps getting reports from workers of the zone that can't reach the holder.
  void note_misrouted_heartbeat(const ZoneId& zone, const NodeId& witness);

 private:
  void tick();
  [[nodiscard]] std::optional<NodeId> choose(const ZoneId& zone, const ShardRecord* held);
  [[nodiscard]] std::optional<NodeId> home(const ZoneId& zone, const ShardRecord* held) const;

  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  Election& election_;
  ModRevision term_;  // that the following is of
  SteadyTime charge_since_{};
  std::map<NodeId, std::pair<ProcessIncarnation, SteadyTime>> alive_since_;
  std::map<ZoneId, std::pair<NodeId, SteadyTime>> misrouted_heartbeats_;
  /// A shard that was moved since its holder did not get its workers' reports: not home again for a
  /// while, and for longer each time.
  struct Absence {
    SteadyTime since;
    Duration length{};
  };
  void note_absence(const ZoneId& zone, SteadyTime now);
  std::map<ZoneId, Absence> absences_;
  std::set<ZoneId> busy_;
  Timer timer_;
};

}  // namespace marblevale
