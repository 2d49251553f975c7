#include "scheduling/failed_starts.hpp"

#include "scheduling/placement_search.hpp"

namespace marblevale {

namespace {
// A failed start is retried after this time even if no capacity was freed.
constexpr Duration kFailedStartMaxAge{10'000};
// Longest image fetch that is added to the estimated run when checking the team's limit. A team
// with room for that long is not at its limit.
constexpr Duration kLongestFetch{120'000};

bool has_same_demand(const FailedStart& failure, const Demand& demand) {
  return failure.tasks == demand.tasks && failure.run == demand.run &&
         failure.zone == demand.zone && demand.allowed_machines.empty() &&
         !demand.job->spread_zones;
}
}  // namespace

bool would_fail_again(const FailedStarts& failed_starts, const QueueItem& item,
                      const Reservations& reservations, const Profile& profile, WallTime now) {
  const auto known = failed_starts.find(item.job_id);
  if (known == failed_starts.end()) return false;
  const FailedStart& failure = known->second;
  const Demand& demand = item.demand;
  if (!has_same_demand(failure, demand) || now - failure.at > kFailedStartMaxAge) return false;
  // The job's reserved start has come, so its own reservation no longer keeps the room for later.
  if (reservations.at(item.job_id).first_start() <= now) return false;
  if (failure.at_team_limit) {
    return !profile.team_capacity_freed_since(demand.job->team, failure.version);
  }
  return !profile.capacity_freed_for(demand, failure.version, failure.at, now);
}

void record_failed_start(FailedStarts& failed_starts, const QueueItem& item, const Profile& profile,
                         WallTime now) {
  const Demand& demand = item.demand;
  const PlacementSearch search(profile);
  Demand longest = demand;
  longest.run = demand.run + kLongestFetch;
  const bool at_limit = !search.team_can_fit(demand, now);
  // If only the longer run would exceed the limit, it is unknown whether the limit or the machines
  // had no room, so the job is retried in each round.
  if (!at_limit && !search.team_can_fit(longest, now)) {
    failed_starts.erase(item.job_id);
    return;
  }
  failed_starts[item.job_id] = {profile.version(), now,         demand.tasks,
                                demand.run,        demand.zone, at_limit};
}

}  // namespace marblevale
