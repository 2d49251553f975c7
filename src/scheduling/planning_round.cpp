#include "scheduling/planning_round.hpp"

namespace marblevale {

namespace {
// Delay of the start that is granted to a job that no machine can take yet. It is long because a
// machine must be provisioned first.
constexpr Duration kUnplacedDelay{600'000};
}  // namespace

Plan PlanningRound::plan_of(const Reservation& reservation) const {
  Plan plan;
  for (const Reservation::Place& place : reservation.places) {
    const auto machine = profile.find(place.machine_id);
    if (!machine) return {};
    plan.placements.push_back({*machine, place.start, place.end});
  }
  return plan;
}

bool PlanningRound::still_fits(const Plan& plan, const Demand& demand) const {
  return profile.still_fits(plan, *demand.job) && profile.satisfies_zone_constraints(plan, demand);
}

bool PlanningRound::satisfies_zone_constraints(const Reservation& reservation,
                                               const Demand& demand) const {
  // Runs for every reservation in every round, so the plan is made only for jobs that need the
  // check.
  return !Profile::needs_zone_check(demand) ||
         profile.satisfies_zone_constraints(plan_of(reservation), demand);
}

bool PlanningRound::is_valid(const Reservation& reservation, const QueueItem& item) const {
  return reservation.places.size() == item.demand.tasks && reservation.first_start() >= now &&
         profile.reservation_still_fits(item.owner) &&
         satisfies_zone_constraints(reservation, item.demand);
}

void PlanningRound::reserve(const QueueItem& item, const Plan& plan) {
  auto [it, is_new] = reservations.try_emplace(item.job_id);
  Reservation& reservation = it->second;
  reservation.places.clear();
  for (const Placement& placement : plan.placements) {
    reservation.places.push_back(
        {profile.machines()[placement.machine].machine_id, placement.start, placement.end});
  }
  const WallTime start = plan.start();
  const WallTime end = plan.end();
  if (is_new) reservation.granted_start = start;
  if (is_new || reservation.start != start || reservation.end != end) reservation.changed = true;
  reservation.start = start;
  reservation.end = end;
  profile.allocate(plan, *item.demand.job, item.owner);
}

void PlanningRound::reserve_unplaced(const QueueItem& item) {
  auto [it, is_new] = reservations.try_emplace(item.job_id);
  Reservation& reservation = it->second;
  reservation.places.clear();
  const WallTime start = now + kUnplacedDelay;
  if (is_new) reservation.granted_start = start;
  // The start moves only once it is reached, so that the reservation is not written while nothing
  // else changes.
  if (is_new || reservation.start <= now) {
    reservation.start = start;
    reservation.end = start + item.demand.run;
    reservation.changed = true;
  }
}

void PlanningRound::reserve_if_placed(const QueueItem& item, const std::optional<Plan>& plan) {
  if (plan) {
    reserve(item, *plan);
  } else {
    reserve_unplaced(item);
  }
}

void PlanningRound::reapply_reservation(const QueueItem& item) {
  const auto it = reservations.find(item.job_id);
  if (it == reservations.end()) return;
  const Plan plan = plan_of(it->second);
  if (!plan.placements.empty()) profile.allocate(plan, *item.demand.job, item.owner);
}

}  // namespace marblevale
