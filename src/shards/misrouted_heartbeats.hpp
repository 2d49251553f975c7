/// Heartbeats from workers of shards that another controller holds. A worker that was redirected to
/// the holder and keeps returning cannot reach it.
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
  /// The shard has another holder, so the evidence against the previous one no longer counts.
  void forget(const ZoneId& zone) { by_zone_.erase(zone); }
  /// Zones of which at least two workers keep returning here.
  [[nodiscard]] std::vector<ZoneId> affected_zones(SteadyTime now);

 private:
  using HeartbeatTimes = std::vector<SteadyTime>;
  std::map<ZoneId, std::map<MachineId, HeartbeatTimes>> by_zone_;
};

}  // namespace marblevale
