#include "leader/planning_state.hpp"

#include <utility>

#include "scheduling/job_queue.hpp"

namespace marblevale {

namespace {
constexpr Duration kProfileRebuildInterval{60'000};
}  // namespace

void PlanningState::begin_term(const Records& records) {
  reservations_.clear();
  reset_profile();
  for (const auto& [job_id, stored] : records.guarantee_records) {
    if (stored.record.guarantees.empty()) continue;
    const Guarantee& guarantee = stored.record.guarantees.back();
    Reservation reservation;
    reservation.granted_start = guarantee.initial_start;
    reservation.start = guarantee.start;
    reservation.end = guarantee.end;
    reservation.changed = false;
    reservations_.emplace(job_id, std::move(reservation));
  }
}

void PlanningState::reset_profile() {
  occupancy_.reset();
  failed_starts_.clear();
}

bool PlanningState::rebuild_profile(SteadyTime now) {
  if (now - last_rebuild_ < kProfileRebuildInterval) return false;
  last_rebuild_ = now;
  reset_profile();
  return true;
}

void PlanningState::sync(const Records& records, const Settings& settings,
                         const PendingSlices& pending, const std::vector<BootingMachine>& booting,
                         WallTime now) {
  occupancy_.sync(records, settings.teams, pending, booting, now);
}

std::size_t PlanningState::reserved_tasks() const {
  std::size_t tasks = 0;
  for (const auto& [job_id, reservation] : reservations_) tasks += reservation.places.size();
  return tasks;
}

void PlanningState::retain_only(const std::unordered_set<JobId>& queued_jobs) {
  std::erase_if(reservations_, [&](const auto& entry) {
    if (queued_jobs.contains(entry.first)) return false;
    occupancy_.profile().release(owner_of(entry.first));
    return true;
  });
  std::erase_if(failed_starts_,
                [&](const auto& entry) { return !queued_jobs.contains(entry.first); });
}

Planner PlanningState::lend_to_planner(std::vector<QueueItem> queue, WallTime now,
                                       std::function<bool(double share)> budget_spent) {
  return {std::move(occupancy_.profile()), std::move(queue), reservations_, failed_starts_, now,
          std::move(budget_spent)};
}

}  // namespace marblevale
