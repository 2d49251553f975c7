#include "shards/misrouted_heartbeats.hpp"

namespace marblevale {

namespace {
constexpr Duration kMisroutedWindow{20'000};
// Between a machine's visits. One that its holder does not answer is back after 5 s: it waits 4 s
// for the answer, and 1 s before it turns to the next controller. A holder that has ended is
// replaced sooner: its epoch ends after 4 s.
constexpr Duration kMinMisroutedTime{4'800};
constexpr Duration kMaxMisroutedAge{5'000};
constexpr std::size_t kMaxTimesPerMachine = 8;
constexpr std::size_t kMinMachines = 2;  // of a zone: a single one may itself be at fault

bool keeps_coming(const std::vector<SteadyTime>& times, SteadyTime now) {
  return times.size() >= 2 && times.back() - times.front() >= kMinMisroutedTime &&
         now - times.back() < kMaxMisroutedAge;
}
}  // namespace

void MisroutedHeartbeats::record(const ZoneId& zone, const MachineId& machine_id, SteadyTime now) {
  HeartbeatTimes& times = by_zone_[zone][machine_id];
  if (times.size() >= kMaxTimesPerMachine) times.erase(times.begin());
  times.push_back(now);
}

std::vector<ZoneId> MisroutedHeartbeats::affected_zones(SteadyTime now) {
  std::vector<ZoneId> zones;
  for (auto& [zone, machines] : by_zone_) {
    std::size_t machines_coming = 0;
    for (auto& [machine_id, times] : machines) {
      std::erase_if(times, [&](SteadyTime time) { return now - time > kMisroutedWindow; });
      if (keeps_coming(times, now)) ++machines_coming;
    }
    std::erase_if(machines, [](const auto& entry) { return entry.second.empty(); });
    if (machines_coming >= kMinMachines) zones.push_back(zone);
  }
  return zones;
}

}  // namespace marblevale
