#include "leader/unreachable_zones.hpp"

#include <utility>

namespace marblevale {

namespace {
constexpr Duration kMaxReportAge{4'000};
}  // namespace

void UnreachableZones::report(const NodeId& holder, std::set<ZoneId> zones, SteadyTime now) {
  reports_[holder] = {std::move(zones), now};
}

std::set<ZoneId> UnreachableZones::current(const Records& records, SteadyTime now) const {
  std::set<ZoneId> unreachable;
  for (const auto& [zone, shard] : records.shards) {
    const auto report = reports_.find(shard.record.holder);
    if (report == reports_.end() || now - report->second.received_at > kMaxReportAge) continue;
    if (report->second.zones.contains(zone)) unreachable.insert(zone);
  }
  return unreachable;
}

}  // namespace marblevale
