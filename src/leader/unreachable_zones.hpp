/// Tracks the zones in which the shard holder reaches no machine, as reported by the controllers.
///
/// The planner excludes these zones. Otherwise the leader would repeatedly release tasks that the
/// holder can't bind and gives back.
#pragma once

#include <map>
#include <set>

#include "records/record_set.hpp"

namespace marblevale {

/// Keeps the last report of each controller.
class UnreachableZones {
 public:
  /// Replaces the controller's last report. The report applies to a zone only while the controller
  /// holds the zone's shard.
  void report(const NodeId& holder, std::set<ZoneId> zones, SteadyTime now);
  /// The zones that their current holders report as unreachable. Reports that are too old are
  /// ignored.
  [[nodiscard]] std::set<ZoneId> current(const Records& records, SteadyTime now) const;

 private:
  struct Report {
    std::set<ZoneId> zones;
    SteadyTime received_at;
  };
  std::map<NodeId, Report> reports_;
};

}  // namespace marblevale
