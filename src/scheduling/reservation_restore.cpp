#include "scheduling/reservation_restore.hpp"

#include <algorithm>

namespace marblevale {

namespace {
// Share of the round's budget up to which reservations are placed again. The rest is kept for the
// other steps.
constexpr double kRestoreShare = 0.4;
// In a long queue, a reservation that no longer fits may start this much later, because releasing
// and placing all later reservations again is expensive. In a short queue it is cheap, and no delay
// is accepted: otherwise a due gang is pushed behind jobs with later granted starts, a few seconds
// at a time.
constexpr Duration kMaxRepairDelay{5'000};
}  // namespace

std::vector<ReservationDelay> ReservationRestore::run(const PinnedMachines& pins) {
  delays_.clear();
  const std::vector<const QueueItem*> order = by_reserved_start(restore_pinned(pins));
  bool later_released = false;
  for (std::size_t i = 0; i < order.size(); ++i) {
    const QueueItem& item = *order[i];
    if (!later_released) {
      // Most reservations are in the profile since an earlier round and still fit.
      const Reservation& reservation = round_.reservations.at(item.job_id);
      if (reservation.start > round_.now && round_.is_valid(reservation, item)) continue;
      if (repair(item)) continue;
      // From the first reservation that must move, all are released and placed again in order, so
      // that a later start never blocks an earlier one.
      later_released = true;
      for (std::size_t k = i; k < order.size(); ++k) round_.profile.release(order[k]->owner);
    }
    place_again(item, std::nullopt);
  }
  return std::move(delays_);
}

std::unordered_set<JobId> ReservationRestore::restore_pinned(const PinnedMachines& pins) {
  std::unordered_set<JobId> pinned;
  if (pins.empty()) return pinned;
  for (const QueueItem& item : round_.queue) {
    const auto pin = pins.find(item.job_id);
    if (pin == pins.end() || !round_.reservations.contains(item.job_id)) continue;
    if (restore_on(item, pin->second)) pinned.insert(item.job_id);
  }
  return pinned;
}

bool ReservationRestore::restore_on(const QueueItem& item,
                                    const std::vector<MachineId>& machine_ids) {
  const Reservation& reservation = round_.reservations.at(item.job_id);
  const bool is_on_pins = std::all_of(
      reservation.places.begin(), reservation.places.end(), [&](const Reservation::Place& place) {
        return std::find(machine_ids.begin(), machine_ids.end(), place.machine_id) !=
               machine_ids.end();
      });
  if (is_on_pins && round_.is_valid(reservation, item)) return true;
  round_.profile.release(item.owner);
  // Reservations of other jobs on these machines are released, and placed again with the rest.
  for (const MachineId& machine_id : machine_ids) {
    if (const auto machine = round_.profile.find(machine_id)) {
      round_.profile.release_reservations_on(*machine);
    }
  }
  Demand demand = item.demand;
  demand.allowed_machines = machine_ids;
  const auto plan = round_.profile.earliest(demand, round_.now);
  if (!plan || plan->start() > reservation.start) return false;
  round_.reserve(item, *plan);
  return true;
}

std::vector<const QueueItem*> ReservationRestore::by_reserved_start(
    const std::unordered_set<JobId>& pinned) const {
  std::vector<const QueueItem*> order;
  for (const QueueItem& item : round_.queue) {
    if (!round_.reservations.contains(item.job_id) || pinned.contains(item.job_id)) continue;
    order.push_back(&item);
  }
  std::sort(order.begin(), order.end(), [this](const QueueItem* a, const QueueItem* b) {
    const WallTime start_of_a = round_.reservations.at(a->job_id).start;
    const WallTime start_of_b = round_.reservations.at(b->job_id).start;
    return start_of_a != start_of_b ? start_of_a < start_of_b : has_higher_priority(*a, *b);
  });
  return order;
}

bool ReservationRestore::repair(const QueueItem& item) {
  round_.profile.release(item.owner);
  const bool long_queue = round_.queue.size() > kShortQueue;
  return place_again(item, long_queue ? kMaxRepairDelay : Duration{0});
}

bool ReservationRestore::place_again(const QueueItem& item, std::optional<Duration> max_delay) {
  Reservation& reservation = round_.reservations.at(item.job_id);
  // Tasks of a job that have started, or wait again, change the number of places that it needs.
  if (reservation.places.size() > item.demand.tasks) reservation.places.resize(item.demand.tasks);
  Plan plan = round_.plan_of(reservation);
  if (plan.placements.size() == item.demand.tasks) {
    shift_to_now(plan);
    if (round_.still_fits(plan, item.demand)) {
      round_.profile.allocate(plan, *item.demand.job, item.owner);
      return true;
    }
  }
  if (round_.budget_spent(kRestoreShare)) {
    // The reservation keeps its place until a later round checks it.
    if (!plan.placements.empty()) round_.profile.allocate(plan, *item.demand.job, item.owner);
    return true;
  }
  const auto earliest = round_.earliest_plan(item);
  if (!earliest) {
    round_.reserve_unplaced(item);
    return true;
  }
  const WallTime previous_start = reservation.start;
  if (max_delay && earliest->start() > std::max(previous_start, round_.now) + *max_delay) {
    return false;
  }
  const bool was_unplaced = reservation.places.empty();
  round_.reserve(item, *earliest);
  if (!was_unplaced && reservation.start > previous_start) {
    delays_.push_back({item.job_id, previous_start, reservation.start});
  }
  return true;
}

void ReservationRestore::shift_to_now(Plan& plan) const {
  // A reservation whose start has passed without the job starting is shifted to now.
  const WallTime first = plan.first_start();
  if (first >= round_.now) return;
  for (Placement& placement : plan.placements) {
    placement.start = placement.start + (round_.now - first);
    placement.end = placement.end + (round_.now - first);
  }
}

}  // namespace marblevale
