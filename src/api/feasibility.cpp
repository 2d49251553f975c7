#include "api/feasibility.hpp"

#include <set>

#include "records/records.hpp"
#include "scheduling/profile.hpp"

namespace marblevale {

namespace {

/// Zones in which a machine of some type can hold a task of the job.
std::set<ZoneId> feasible_zones(const JobSpec& job, const std::vector<MachineType>& types) {
  std::set<ZoneId> zones;
  for (const MachineType& type : types) {
    PlanMachine machine;
    machine.machine_type = type.name;
    machine.resources = type.resources;
    for (const ZoneId& zone : type.zones) {
      machine.zone = zone;
      if (Profile::allowed(job, machine)) zones.insert(zone);
    }
  }
  return zones;
}

/// True for gangs and service jobs: all their tasks run at the same time.
bool runs_all_tasks_at_once(const JobSpec& job) { return job.gang() || job.is_service(); }

/// The size of the job's record after a cancellation, when the record is largest.
std::size_t largest_record_bytes(const JobSpec& job) {
  constexpr WallTime kAnyTime = from_unix_milliseconds(1'800'000'000'000);
  return encode(JobRecord{job, kAnyTime, kAnyTime}).size();
}

}  // namespace

std::optional<std::string> infeasibility_reason(const JobSpec& job, const Settings& settings,
                                                const std::vector<MachineType>& types,
                                                std::size_t max_record_bytes) {
  const Team* team = settings.team(job.team);
  if (team == nullptr) return "unknown team " + job.team.get();
  const double concurrent_tasks = runs_all_tasks_at_once(job) ? job.task_count : 1;
  if (!fits(job.need * concurrent_tasks, team->limit())) return "needs more than the team's limit";
  const std::set<ZoneId> zones = feasible_zones(job, types);
  if (zones.empty()) return "a task fits no allowed machine type";
  // At most half of a spread job's concurrent tasks may run in one zone, so a job whose tasks all
  // run at the same time needs a second zone. The tasks of an array may run one half after the
  // other in a single zone.
  const bool needs_second_zone =
      job.spread_zones && job.task_count > 1 && runs_all_tasks_at_once(job);
  if (needs_second_zone && (job.single_zone || zones.size() < 2)) {
    return "tasks that must be spread can be in one zone only";
  }
  if (largest_record_bytes(job) > max_record_bytes) {
    return "its description is too large to be kept: use shorter names, or fewer machine types";
  }
  return std::nullopt;
}

}  // namespace marblevale
