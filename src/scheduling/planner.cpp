#include "scheduling/planner.hpp"

#include <algorithm>

namespace marblevale {

Planner::Planner(Profile profile, std::vector<QueueItem> queue, Reservations& reservations,
                 FailedStarts& failed_starts, WallTime now,
                 std::function<bool(double)> budget_spent)
    : round_{std::move(profile),     std::move(queue), reservations, failed_starts, now,
             std::move(budget_spent)} {
  std::sort(round_.queue.begin(), round_.queue.end(), has_higher_priority);
}

std::vector<ReservationDelay> Planner::restore(const PinnedMachines& pins) {
  return ReservationRestore(round_).run(pins);
}

bool Planner::admit_arrivals() { return ArrivalStep(round_).run(); }

std::vector<JobStart> Planner::compress(std::size_t& cursor) {
  Compression compression(round_);
  std::vector<JobStart> starts = compression.run(cursor);
  const std::vector<Owner>& owners = compression.started_owners();
  started_owners_.insert(started_owners_.end(), owners.begin(), owners.end());
  return starts;
}

std::vector<ForecastEntry> Planner::forecast(std::size_t max_jobs) const {
  std::vector<ForecastEntry> out;
  Profile scratch = round_.profile;
  for (const QueueItem& item : round_.queue) scratch.release(item.owner);
  for (const QueueItem& item : round_.queue) {
    if (item.demand.tasks == 0) continue;
    if (out.size() >= max_jobs) break;
    auto plan = scratch.earliest(item.demand, round_.now);
    if (plan) scratch.allocate(*plan, *item.demand.job, item.owner);
    out.push_back({&item, std::move(plan)});
  }
  return out;
}

Profile Planner::take_profile() {
  // Reservations stay in the profile for the next round. Started tasks are released, because they
  // are allocated again as running tasks.
  for (const Owner owner : started_owners_) round_.profile.release(owner);
  return std::move(round_.profile);
}

}  // namespace marblevale
