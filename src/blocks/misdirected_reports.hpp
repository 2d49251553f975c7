// Reports from workers of blocks that another controller holds. A worker that was redirected to the
// holder and comes back again and again can't reach it.
#pragma once

#include <map>
#include <vector>

#include "core/strong.hpp"
#include "core/time.hpp"

namespace marblevale {

class MisdirectedReports {
 public:
  void record(const ZoneId& zone, const MachineId& machine_id, SteadyTime now);
  /// The block has another holder: what was said of the one before no longer counts.
  void forget(const ZoneId& zone) { by_zone_.erase(zone); }
  /// Zones of which at least two workers keep coming here.
  [[nodiscard]] std::vector<ZoneId> affected_zones(SteadyTime now);

 private:
  using ReportTimes = std::vector<SteadyTime>;
  std::map<ZoneId, std::map<MachineId, ReportTimes>> by_zone_;
};

}  // namespace marblevale
