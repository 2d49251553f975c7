#include "scheduling/arrival_step.hpp"

#include <algorithm>

namespace marblevale {

namespace {
// Share of the round's budget that may be spent when an arrival still moves other jobs. The rest is
// kept for compression.
constexpr double kArrivalShare = 0.7;
// Up to this share an arrival still gets a reservation, but moves no other job. A job without a
// reservation can't start, even on an idle cluster.
constexpr double kLastArrivalShare = 0.85;
// In a long queue, trying to move all jobs of higher priority would cost more than the round's
// budget.
constexpr std::size_t kMaxMoveAttempts = 6;
}  // namespace

bool ArrivalStep::run() {
  std::vector<const QueueItem*> arrivals;
  for (const QueueItem& item : round_.queue) {
    if (!round_.reservations.contains(item.job_id)) arrivals.push_back(&item);
  }
  std::sort(arrivals.begin(), arrivals.end(), [](const QueueItem* a, const QueueItem* b) {
    return a->accepted != b->accepted ? a->accepted < b->accepted : a->job_id < b->job_id;
  });
  std::size_t admitted = 0;
  while (admitted < arrivals.size() && !round_.budget_spent(kLastArrivalShare)) {
    admit(*arrivals[admitted], max_move_attempts());
    ++admitted;
  }
  return admitted == arrivals.size();
}

std::size_t ArrivalStep::max_move_attempts() const {
  if (round_.budget_spent(kArrivalShare)) return 0;
  return round_.queue.size() <= kShortQueue ? round_.queue.size() : kMaxMoveAttempts;
}

void ArrivalStep::admit(const QueueItem& item, std::size_t max_move_attempts) {
  const auto tentative = round_.earliest_plan(item);
  if (!tentative) {
    round_.reserve_unplaced(item);
    return;
  }
  if (move_earlier(item, tentative->end(), max_move_attempts)) {
    round_.reserve_if_placed(item, round_.earliest_plan(item));
  } else {
    round_.reserve(item, *tentative);
  }
}

bool ArrivalStep::move_earlier(const QueueItem& new_item, WallTime end_of_new_item,
                               std::size_t max_move_attempts) {
  bool any_moved = false;
  std::size_t attempts = 0;
  for (const QueueItem& item : round_.queue) {
    if (item.job_id == new_item.job_id || attempts >= max_move_attempts) break;
    const auto it = round_.reservations.find(item.job_id);
    if (it == round_.reservations.end() || it->second.start <= round_.now ||
        item.not_before > round_.now) {
      continue;
    }
    ++attempts;
    any_moved = move_earlier(item, it->second, end_of_new_item) || any_moved;
  }
  return any_moved;
}

bool ArrivalStep::move_earlier(const QueueItem& item, const Reservation& reservation,
                               WallTime latest_start) {
  const Plan previous = round_.plan_of(reservation);
  round_.profile.release_tentatively(item.owner);
  const auto plan = round_.earliest_plan(item);
  if (!plan || plan->start() >= reservation.start || plan->start() >= latest_start) {
    round_.reapply_reservation(item);
    return false;
  }
  for (const Placement& old_placement : previous.placements) {
    round_.profile.mark_capacity_freed(old_placement.machine);
  }
  round_.profile.mark_team_capacity_freed(item.demand.job->team);
  round_.reserve(item, *plan);
  return true;
}

}  // namespace marblevale
