#include "scheduling/compression.hpp"

#include <algorithm>
#include <numeric>
#include <set>
#include <unordered_set>

namespace marblevale {

namespace {

/// Tasks started in this round are allocated under another owner than the job's reservation, so
/// that either can be released alone.
Owner started_owner(Owner reservation_owner) {
  constexpr std::uint64_t kStartedBit = 1ULL << 63;
  return Owner{reservation_owner.get() | kStartedBit};
}

/// Removes the first `count` tasks from the item and returns their indices.
std::vector<std::uint32_t> take_task_indices(QueueItem& item, std::size_t count) {
  if (item.demand.job->gang()) {
    std::vector<std::uint32_t> all(count);
    std::iota(all.begin(), all.end(), 0U);
    return all;
  }
  const auto end = item.task_indices.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<std::uint32_t> taken(item.task_indices.begin(), end);
  item.task_indices.erase(item.task_indices.begin(), end);
  return taken;
}

}  // namespace

std::vector<JobStart> Compression::run(std::size_t& cursor) {
  std::size_t position = std::min(cursor, round_.queue.size());
  while (position < round_.queue.size()) {
    if (round_.budget_spent(1.0)) {
      cursor = position;
      return std::move(starts_);
    }
    position = may_start(position) ? try_start(position) : position + 1;
  }
  cursor = 0;
  return std::move(starts_);
}

bool Compression::may_start(std::size_t position) const {
  const QueueItem& item = round_.queue[position];
  return states_[position] == JobState::pending && item.not_before <= round_.now &&
         round_.reservations.contains(item.job_id);
}

std::size_t Compression::try_start(std::size_t position) {
  const QueueItem& item = round_.queue[position];
  if (would_fail_again(round_.failed_starts, item, round_.reservations, round_.profile,
                       round_.now)) {
    states_[position] = JobState::blocked;
    return position + 1;
  }
  if (!round_.profile.may_fit_beside_running(item.demand, round_.now)) {
    record_failed_start(round_.failed_starts, item, round_.profile, round_.now);
    states_[position] = JobState::settled;
    return position + 1;
  }
  round_.profile.release_tentatively(item.owner);
  auto plan = plan_start(item);
  if (!plan) {
    record_failed_start(round_.failed_starts, item, round_.profile, round_.now);
    round_.reapply_reservation(item);
    states_[position] = JobState::blocked;
    return position + 1;
  }
  return start(position, std::move(*plan));
}

std::optional<Plan> Compression::plan_start(const QueueItem& item) {
  if (auto reserved = plan_due_reservation(item)) return reserved;
  if (item.demand.job->gang()) {
    if (auto plan = round_.profile.fit_at(item.demand, round_.now)) return plan;
  } else {
    Plan plan = round_.profile.fit_partially(item.demand, round_.now);
    if (!plan.placements.empty()) return plan;
  }
  return displace_reservations(item);
}

std::optional<Plan> Compression::plan_due_reservation(const QueueItem& item) const {
  const auto reservation = round_.reservations.find(item.job_id);
  if (reservation == round_.reservations.end()) return std::nullopt;
  Plan reserved = round_.plan_of(reservation->second);
  const bool is_due = reserved.placements.size() == item.demand.tasks &&
                      !reserved.placements.empty() && reserved.start() <= round_.now;
  if (!is_due) return std::nullopt;
  // If the image is already on all reserved machines, no other plan can be better.
  const bool has_images = std::all_of(
      reserved.placements.begin(), reserved.placements.end(), [&](const Placement& placement) {
        const PlanMachine& machine = round_.profile.machines()[placement.machine];
        return Profile::fetch_time(*item.demand.job, machine) <= Duration{0};
      });
  if (!has_images || !round_.still_fits(reserved, item.demand)) return std::nullopt;
  return reserved;
}

std::optional<Plan> Compression::displace_reservations(const QueueItem& item) {
  const JobSpec& job = *item.demand.job;
  if (!job.is_service()) return std::nullopt;
  Plan plan = round_.profile.fit_beside_running(item.demand, round_.now);
  if (plan.placements.empty()) return std::nullopt;
  const ResourceTimeline* team = round_.profile.team_timeline(job.team);
  const Resources wanted = job.need * static_cast<double>(plan.placements.size());
  if (team != nullptr && !team->can_fit(wanted, round_.now, plan.end())) return std::nullopt;
  // All reservations are checked before any is released. Otherwise a job that waits here for a long
  // time would break the reservations of other jobs in every round.
  const std::vector<const QueueItem*> in_the_way = reserved_on(plan, item.job_id);
  const bool all_lower = std::all_of(
      in_the_way.begin(), in_the_way.end(),
      [&job](const QueueItem* other) { return other->demand.job->urgency < job.urgency; });
  if (!all_lower) return std::nullopt;
  // The next round places the released reservations again and reports their delays.
  for (const QueueItem* other : in_the_way) round_.profile.release(other->owner);
  if (!round_.still_fits(plan, item.demand)) return std::nullopt;
  return plan;
}

std::vector<const QueueItem*> Compression::reserved_on(const Plan& plan,
                                                       const JobId& except) const {
  std::unordered_set<MachineId> machine_ids;
  for (const Placement& placement : plan.placements) {
    machine_ids.insert(round_.profile.machines()[placement.machine].machine_id);
  }
  std::vector<const QueueItem*> out;
  for (const QueueItem& item : round_.queue) {
    const auto reservation = round_.reservations.find(item.job_id);
    if (reservation == round_.reservations.end() || item.job_id == except) continue;
    const auto& places = reservation->second.places;
    const bool uses_machine = std::any_of(
        places.begin(), places.end(),
        [&](const Reservation::Place& place) { return machine_ids.contains(place.machine_id); });
    if (uses_machine) out.push_back(&item);
  }
  return out;
}

std::size_t Compression::start(std::size_t position, Plan plan) {
  QueueItem& item = round_.queue[position];
  round_.failed_starts.erase(item.job_id);
  const std::vector<std::size_t> freed_machines = free_unused_places(item, plan);
  std::vector<std::uint32_t> task_indices = take_task_indices(item, plan.placements.size());
  allocate_running(item, plan);
  reduce_demand(item, plan);
  // The job no longer uses its team's limit at the reserved time.
  round_.profile.mark_team_capacity_freed(item.demand.job->team);
  starts_.push_back({item.job_id, std::move(plan), std::move(task_indices)});
  if (item.demand.tasks == 0) {
    states_[position] = JobState::settled;
  } else {
    states_[position] = JobState::blocked;
    reserve_remaining_tasks(item);
  }
  return unblock_up_to(position, freed_machines);
}

std::vector<std::size_t> Compression::free_unused_places(const QueueItem& item, const Plan& plan) {
  // A machine on which the job starts counts as freed only if its place there was reserved for
  // later.
  std::unordered_set<std::size_t> used_machines;
  for (const Placement& placement : plan.placements) used_machines.insert(placement.machine);
  std::set<std::size_t> freed_machines;
  const Plan reserved = round_.plan_of(round_.reservations.at(item.job_id));
  for (const Placement& place : reserved.placements) {
    if (place.start <= round_.now && used_machines.contains(place.machine)) continue;
    if (freed_machines.insert(place.machine).second) {
      round_.profile.mark_capacity_freed(place.machine);
    }
  }
  return {freed_machines.begin(), freed_machines.end()};
}

void Compression::allocate_running(const QueueItem& item, const Plan& plan) {
  // Running tasks are allocated from time 0, so that `no_room_beside_running` detects a full
  // machine quickly.
  Plan running = plan;
  for (Placement& placement : running.placements) placement.start = WallTime{};
  const Owner owner = started_owner(item.owner);
  round_.profile.allocate(running, *item.demand.job, owner);
  started_owners_.push_back(owner);
}

void Compression::reduce_demand(QueueItem& item, const Plan& plan) const {
  item.demand.tasks -= static_cast<std::uint32_t>(plan.placements.size());
  const std::vector<PlanMachine>& machines = round_.profile.machines();
  if (item.demand.job->single_zone) item.demand.zone = machines[plan.placements[0].machine].zone;
  for (const Placement& placement : plan.placements) {
    count_task(item.demand.placed_tasks, machines[placement.machine].zone);
  }
}

void Compression::reserve_remaining_tasks(const QueueItem& item) {
  Reservation& reservation = round_.reservations.at(item.job_id);
  auto& places = reservation.places;
  std::sort(
      places.begin(), places.end(),
      [](const Reservation::Place& a, const Reservation::Place& b) { return a.start < b.start; });
  if (places.size() > item.demand.tasks) {
    const auto surplus = static_cast<std::ptrdiff_t>(places.size() - item.demand.tasks);
    places.erase(places.begin(), places.begin() + surplus);
  }
  const Plan remaining = round_.plan_of(reservation);
  if (!remaining.placements.empty() && round_.still_fits(remaining, item.demand)) {
    round_.profile.allocate(remaining, *item.demand.job, item.owner);
  } else {
    round_.reserve_if_placed(item, round_.earliest_plan(item));
  }
}

std::size_t Compression::unblock_up_to(std::size_t position,
                                       const std::vector<std::size_t>& freed_machines) {
  // Section 2.1 of the paper: return to the first job in the queue that could use the freed
  // capacity.
  std::size_t next = position + 1;
  if (freed_machines.empty()) return next;
  for (std::size_t k = 0; k <= position; ++k) {
    if (states_[k] != JobState::blocked) continue;
    if (!could_start_on(round_.queue[k], freed_machines)) continue;
    states_[k] = JobState::pending;
    next = std::min(next, k);
  }
  return next;
}

bool Compression::could_start_on(const QueueItem& item,
                                 const std::vector<std::size_t>& machines) const {
  const JobSpec& job = *item.demand.job;
  return std::any_of(machines.begin(), machines.end(), [&](std::size_t machine) {
    return Profile::allowed(job, round_.profile.machines()[machine]) &&
           round_.profile.timeline(machine).can_fit(job.need, round_.now,
                                                    round_.now + item.demand.run);
  });
}

}  // namespace marblevale
