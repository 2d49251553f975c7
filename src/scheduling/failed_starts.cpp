#include "scheduling/failed_starts.hpp"

#include "scheduling/placement_search.hpp"

namespace marblevale {

namespace {
// A failed start is retried after this in any case.
constexpr Duration kFailedStartMaxAge{10'000};
// Beyond the estimated run, for image fetches: a team with room for so long is not at its limit.
constexpr Duration kLongestFetch{120'000};

bool has_same_demand(const FailedStart& failure, const Demand& demand) {
  return failure.tasks == demand.tasks && failure.run == demand.run &&
         failure.zone == demand.zone && demand.allowed_machines.empty() && !demand.job->spread;
}
}  // namespace

bool would_fail_again(const FailedStarts& failed_starts, const QueueItem& item,
                      const Reservations& reservations, const Profile& profile, WallTime now) {
  const auto known = failed_starts.find(item.job_id);
  if (known == failed_starts.end()) return false;
  const FailedStart& failure = known->second;
  const Demand& demand = item.demand;
  if (!has_same_demand(failure, demand) || now - failure.at > kFailedStartMaxAge) return false;
  // Its own time has come: what kept the room for it until now was its own reservation.
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
  // Where only a longer run would exceed the limit, it is unknown which of the two was in the way.
  if (!at_limit && !search.team_can_fit(longest, now)) {
    failed_starts.erase(item.job_id);
    return;
  }
  failed_starts[item.job_id] = {profile.version(), now,         demand.tasks,
                                demand.run,        demand.zone, at_limit};
}

}  // namespace marblevale
