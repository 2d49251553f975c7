/// Zones whose shard holder reaches none of their machines, as the controllers report it.
///
/// No task could be bound in such a zone: the leader would release tasks there that its holder
/// gives back, again and again. So the planner leaves these zones out.
#pragma once

#include <map>
#include <set>

#include "records/record_set.hpp"

namespace marblevale {

/// Keeps the last report of each controller.
class UnreachableZones {
 public:
  /// Replaces the controller's last report. A report says something of a zone only while its
  /// sender holds the zone's shard.
  void report(const NodeId& holder, std::set<ZoneId> zones, SteadyTime now);
  /// The zones that their present holders report as unreachable, by reports that are recent enough.
  [[nodiscard]] std::set<ZoneId> current(const Records& records, SteadyTime now) const;

 private:
  struct Report {
    std::set<ZoneId> zones;
    SteadyTime received_at;
  };
  std::map<NodeId, Report> reports_;
};

}  // namespace marblevale
