/// Tracks heartbeats from workers of shards that another controller holds. A worker that was
/// redirected to the holder and keeps returning cannot reach the holder.
#pragma once

#include <map>
#include <vector>

#include "core/ids.hpp"
#include "core/time.hpp"

namespace marblevale {

/// Records misrouted heartbeats, and finds the zones whose workers cannot reach their holder.
class MisroutedHeartbeats {
 public:
  void record(const ZoneId& zone, const MachineId& machine_id, SteadyTime now);
  /// Drops the evidence against the zone's previous holder, since the shard has another holder.
  void forget(const ZoneId& zone) { by_zone_.erase(zone); }
  /// Returns the zones with at least two workers that keep returning to this controller.
  [[nodiscard]] std::vector<ZoneId> affected_zones(SteadyTime now);

 private:
  using HeartbeatTimes = std::vector<SteadyTime>;
  std::map<ZoneId, std::map<MachineId, HeartbeatTimes>> by_zone_;
};

}  // namespace marblevale
