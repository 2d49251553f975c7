#include "shards/misrouted_heartbeats.hpp"

namespace marblevale {

namespace {
constexpr Duration kObservationWindow{20'000};
/// Minimum time between a worker's first and last heartbeat to this controller. A worker whose
/// holder does not answer returns after 5 s, because it waits 4 s for the reply and another 1 s
/// before it tries the next controller. A holder that has ended is replaced earlier, because its
/// lease expires after 4 s.
constexpr Duration kMinReturnTime{4'800};
constexpr Duration kMaxLastHeartbeatAge{5'000};
constexpr std::size_t kMaxHeartbeatsPerMachine = 8;
/// Minimum for each zone, because a single machine may itself be at fault.
constexpr std::size_t kMinReturningMachines = 2;

bool keeps_returning(const std::vector<SteadyTime>& times, SteadyTime now) {
  return times.size() >= 2 && times.back() - times.front() >= kMinReturnTime &&
         now - times.back() < kMaxLastHeartbeatAge;
}
}  // namespace

void MisroutedHeartbeats::record(const ZoneId& zone, const MachineId& machine_id, SteadyTime now) {
  HeartbeatTimes& times = by_zone_[zone][machine_id];
  if (times.size() >= kMaxHeartbeatsPerMachine) times.erase(times.begin());
  times.push_back(now);
}

std::vector<ZoneId> MisroutedHeartbeats::affected_zones(SteadyTime now) {
  std::vector<ZoneId> zones;
  for (auto& [zone, machines] : by_zone_) {
    std::size_t returning_machines = 0;
    for (auto& [machine_id, times] : machines) {
      std::erase_if(times, [&](SteadyTime time) { return now - time > kObservationWindow; });
      if (keeps_returning(times, now)) ++returning_machines;
    }
    std::erase_if(machines, [](const auto& entry) { return entry.second.empty(); });
    if (returning_machines >= kMinReturningMachines) zones.push_back(zone);
  }
  return zones;
}

}  // namespace marblevale
