#include "scheduling/planner.hpp"

#include <algorithm>
#include <unordered_set>

#include "scheduling/placement_search.hpp"

namespace marblevale {

namespace {
// A job that no machine can take yet is granted a start this far away until one is rented.
constexpr Duration kUnplacedDelay{600'000};
// Of the round's budget: what placing again and arrivals may use up, so that each step has its
// turn.
constexpr double kRestoreShare = 0.4;
constexpr double kArrivalShare = 0.7;
// Beyond its share an arrival is still placed, without trying others before it: a job without a
// reservation can't begin, however much room is idle.
constexpr double kLastArrivalShare = 0.85;
// In a long queue a reservation that broke may begin this much later rather than have all later
// ones make way. In a short one that costs little, and without it a gang that is due crept behind
// jobs that were granted later starts, a few seconds at a time.
constexpr Duration kHardlyLater{5'000};
// A failed start is tried again after this in any case.
constexpr Duration kFailedStartMaxAge{10'000};
// Beyond the estimated run, for fetches: a team that has room for so long is not at its limit.
constexpr Duration kLongestFetch{120'000};
// The jobs before a new one are tried at an earlier place (2.2): all of them in a short queue. With
// hundreds, that would cost more than the round has.
constexpr std::size_t kShortQueue = 60;
constexpr std::size_t kMaxMoved = 6;
constexpr std::uint64_t kStarted = 1ULL << 63;  // marks the owner of what was started this round

WallTime first_of(const Reservation& r) {
  WallTime first = r.start;
  for (const auto& place : r.places) first = std::min(first, place.start);
  return first;
}
}  // namespace

bool has_higher_priority(const QueueItem& a, const QueueItem& b) {
  // What is overdue goes with the standard jobs at the least: low ones must begin some day, too. It
  // stops nobody for that.
  const auto rank = [](const QueueItem& item) {
    const Urgency urgency = item.demand.job->urgency;
    return item.overdue ? std::max(urgency, Urgency::standard) : urgency;
  };
  if (rank(a) != rank(b)) return rank(a) > rank(b);
  if (a.guaranteed != b.guaranteed) return a.guaranteed;
  if (a.overdue != b.overdue) return a.overdue;
  if (a.overdue && a.accepted != b.accepted) return a.accepted < b.accepted;
  // A team without a guarantee gets what the others leave: its idle-only work filled the cluster
  // before the arrays of guaranteed teams, which are of the same urgency.
  if (a.of_guaranteed_team != b.of_guaranteed_team) return a.of_guaranteed_team;
  if (a.objectives_missed != b.objectives_missed) return b.objectives_missed;
  if (a.target != b.target) {
    // One without an objective waits behind those that still can meet theirs.
    if (!a.target || !b.target) return a.target.has_value();
    return *a.target < *b.target;
  }
  if (a.demand.run != b.demand.run) return a.demand.run < b.demand.run;
  if (a.accepted != b.accepted) return a.accepted < b.accepted;
  return a.job_id < b.job_id;
}

Planner::Planner(Profile profile, std::vector<QueueItem> queue, Reservations& reservations,
                 FailedStarts& failed, WallTime now, std::function<bool(double)> spent)
    : profile_(std::move(profile)),
      queue_(std::move(queue)),
      reservations_(reservations),
      failed_starts_(failed),
      now_(now),
      spent_(std::move(spent)) {
  std::sort(queue_.begin(), queue_.end(), has_higher_priority);
}

Plan Planner::plan_of(const Reservation& r) const {
  Plan plan;
  for (const auto& place : r.places) {
    const auto machine = profile_.find(place.machine_id);
    if (!machine) return {};
    plan.placements.push_back({*machine, place.start, place.end});
  }
  return plan;
}

bool Planner::still_fits(const Plan& plan, const Demand& demand) const {
  return profile_.still_fits(plan, *demand.job) &&
         profile_.satisfies_zone_constraints(plan, demand);
}

bool Planner::satisfies_zone_constraints(const Reservation& r, const Demand& demand) const {
  // Asked of every reservation in every round: the plan is made only where it matters.
  return !Profile::has_tasks_elsewhere(demand) ||
         profile_.satisfies_zone_constraints(plan_of(r), demand);
}

void Planner::reserve(const QueueItem& item, const Plan& plan) {
  auto [it, fresh] = reservations_.try_emplace(item.job_id);
  Reservation& r = it->second;
  r.places.clear();
  for (const Placement& s : plan.placements) {
    r.places.push_back({profile_.machines()[s.machine].machine_id, s.start, s.end});
  }
  if (fresh) r.granted_start = plan.start();
  if (fresh || r.start != plan.start() || r.end != plan.end()) r.changed = true;
  r.start = plan.start();
  r.end = plan.end();
  profile_.allocate(plan, *item.demand.job, item.owner);
}

void Planner::reserve_unplaced(const QueueItem& item) {
  auto [it, fresh] = reservations_.try_emplace(item.job_id);
  Reservation& r = it->second;
  r.places.clear();
  const WallTime start = now_ + kUnplacedDelay;
  if (fresh) r.granted_start = start;
  // Its time is pushed on only when it is reached: nothing is written while nothing changes.
  if (fresh || r.start <= now_) {
    r.start = start;
    r.end = start + item.demand.run;
    r.changed = true;
  }
}

void Planner::reapply_reservation(const QueueItem& item) {
  const auto it = reservations_.find(item.job_id);
  if (it == reservations_.end()) return;
  const Plan plan = plan_of(it->second);
  if (!plan.placements.empty()) profile_.allocate(plan, *item.demand.job, item.owner);
}

// Not split yet, issue 17.
// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size)
std::vector<ReservationDelay> Planner::restore(const PinnedMachines& pins) {
  std::vector<ReservationDelay> moved;
  std::unordered_set<JobId> pinned;
  for (const QueueItem& item : queue_) {
    const auto pin = pins.find(item.job_id);
    if (pin == pins.end() || !reservations_.contains(item.job_id)) continue;
    Demand there = item.demand;
    there.allowed_machines = pin->second;
    const Reservation& now = reservations_.at(item.job_id);
    const bool kept = std::all_of(now.places.begin(), now.places.end(), [&](const auto& place) {
      return std::find(there.allowed_machines.begin(), there.allowed_machines.end(),
                       place.machine_id) != there.allowed_machines.end();
    });
    if (kept && now.places.size() == item.demand.tasks && first_of(now) >= now_ &&
        profile_.reservation_still_fits(item.owner) &&
        satisfies_zone_constraints(now, item.demand)) {
      pinned.insert(item.job_id);
      continue;
    }
    profile_.release(item.owner);
    // Others' reservations on these machines give way, and are placed again below.
    for (const MachineId& machine_id : there.allowed_machines) {
      if (const auto machine = profile_.find(machine_id))
        profile_.release_reservations_on(*machine);
    }
    const auto plan = profile_.earliest(there, now_);
    if (!plan || plan->start() > reservations_.at(item.job_id).start) continue;
    reserve(item, *plan);
    pinned.insert(item.job_id);
  }
  std::vector<const QueueItem*> order;
  for (const QueueItem& item : queue_) {
    if (reservations_.contains(item.job_id) && !pinned.contains(item.job_id))
      order.push_back(&item);
  }
  // In the order of their granted starts, so that a conflict falls on the later one.
  std::sort(order.begin(), order.end(), [this](const QueueItem* a, const QueueItem* b) {
    const Reservation& x = reservations_.at(a->job_id);
    const Reservation& y = reservations_.at(b->job_id);
    return x.start != y.start ? x.start < y.start : has_higher_priority(*a, *b);
  });
  bool disturbed = false;
  for (std::size_t i = 0; i < order.size(); ++i) {
    const QueueItem* item = order[i];
    Reservation& r = reservations_.at(item->job_id);
    // Most stand in the profile since an earlier round, and nothing has come in their way.
    if (!disturbed && r.places.size() == item->demand.tasks && r.start > now_ &&
        first_of(r) >= now_ && profile_.reservation_still_fits(item->owner) &&
        satisfies_zone_constraints(r, item->demand)) {
      continue;
    }
    if (!disturbed && repair(*item, moved)) continue;
    if (!disturbed) {
      // From the first that has to move on, all are placed again in their order: what is granted a
      // later start must not stand in the way of an earlier one.
      disturbed = true;
      for (std::size_t k = i; k < order.size(); ++k) profile_.release(order[k]->owner);
    }
    // Tasks of a slice that have started, or come back, change how many places it needs.
    if (r.places.size() > item->demand.tasks) r.places.resize(item->demand.tasks);
    Plan plan = plan_of(r);
    if (plan.placements.size() == item->demand.tasks) {
      shift_to_now(plan);
      if (still_fits(plan, item->demand)) {
        profile_.allocate(plan, *item->demand.job, item->owner);
        continue;
      }
    }
    if (spent_(kRestoreShare)) {
      if (!plan.placements.empty()) profile_.allocate(plan, *item->demand.job, item->owner);
      continue;
    }
    const WallTime old = r.start;
    auto again = profile_.earliest(item->demand, now_);
    if (!again) {
      reserve_unplaced(*item);
      continue;
    }
    const bool was_unplaced = r.places.empty();
    reserve(*item, *again);
    if (!was_unplaced && r.start > old) moved.push_back({item->job_id, old, r.start});
  }
  return moved;
}

void Planner::shift_to_now(Plan& plan) const {
  // A start that is reached without having begun slides along with the present.
  const WallTime first = plan.first_start();
  if (first >= now_) return;
  for (Placement& placement : plan.placements) {
    placement.start = placement.start + (now_ - first);
    placement.end = placement.end + (now_ - first);
  }
}

bool Planner::repair(const QueueItem& item, std::vector<ReservationDelay>& moved) {
  Reservation& r = reservations_.at(item.job_id);
  profile_.release(item.owner);
  if (r.places.size() > item.demand.tasks) r.places.resize(item.demand.tasks);
  Plan plan = plan_of(r);
  if (plan.placements.size() == item.demand.tasks) {
    shift_to_now(plan);
    if (still_fits(plan, item.demand)) {
      profile_.allocate(plan, *item.demand.job, item.owner);
      return true;
    }
  }
  if (spent_(kRestoreShare)) {
    if (!plan.placements.empty()) profile_.allocate(plan, *item.demand.job, item.owner);
    return true;
  }
  const auto again = profile_.earliest(item.demand, now_);
  if (!again) {
    reserve_unplaced(item);
    return true;
  }
  const WallTime old = r.start;
  const Duration tolerated = queue_.size() > kShortQueue ? kHardlyLater : Duration{0};
  if (again->start() > std::max(old, now_) + tolerated) return false;
  const bool was_unplaced = r.places.empty();
  reserve(item, *again);
  if (!was_unplaced && r.start > old) moved.push_back({item.job_id, old, r.start});
  return true;
}

void Planner::admit(const QueueItem& item, bool move_others) {
  const auto tentative = profile_.earliest(item.demand, now_);
  if (!tentative) {
    reserve_unplaced(item);
    return;
  }
  const WallTime its_end = tentative->end();
  // Jobs of higher priority that the new one could delay move first (2.2).
  bool any = false;
  std::size_t tried = 0;
  const std::size_t longest = queue_.size() <= kShortQueue ? queue_.size() : kMaxMoved;
  const std::size_t most = move_others ? longest : 0;
  for (const QueueItem& other : queue_) {
    if (other.job_id == item.job_id || tried >= most) break;
    const auto it = reservations_.find(other.job_id);
    if (it == reservations_.end() || it->second.start <= now_ || other.not_before > now_) continue;
    ++tried;
    const auto previous = plan_of(it->second);
    profile_.release_tentatively(other.owner);
    auto plan = profile_.earliest(other.demand, now_);
    if (plan && plan->start() < it->second.start && plan->start() < its_end) {
      for (const Placement& given_up : previous.placements)
        profile_.mark_capacity_freed(given_up.machine);
      profile_.mark_team_capacity_freed(other.demand.job->team);
      reserve(other, *plan);
      any = true;
    } else {
      reapply_reservation(other);
    }
  }
  const auto plan = any ? profile_.earliest(item.demand, now_) : tentative;
  if (plan) {
    reserve(item, *plan);
  } else {
    reserve_unplaced(item);
  }
}

std::vector<ForecastEntry> Planner::forecast(std::size_t max_jobs) const {
  std::vector<ForecastEntry> out;
  Profile scratch = profile_;
  for (const QueueItem& item : queue_) scratch.release(item.owner);
  for (const QueueItem& item : queue_) {
    if (item.demand.tasks == 0) continue;
    if (out.size() >= max_jobs) break;
    auto plan = scratch.earliest(item.demand, now_);
    if (plan) scratch.allocate(*plan, *item.demand.job, item.owner);
    out.push_back({&item, std::move(plan)});
  }
  return out;
}

Profile Planner::take_profile() {
  // Reservations stay in it for the next round; what was started will come back as what runs.
  for (const Owner owner : started_) profile_.release(owner);
  return std::move(profile_);
}

bool Planner::admit_arrivals() {
  std::vector<const QueueItem*> fresh;
  for (const QueueItem& item : queue_) {
    if (!reservations_.contains(item.job_id)) fresh.push_back(&item);
  }
  std::sort(fresh.begin(), fresh.end(), [](const QueueItem* a, const QueueItem* b) {
    return a->accepted != b->accepted ? a->accepted < b->accepted : a->job_id < b->job_id;
  });
  for (const QueueItem* item : fresh) {
    if (spent_(kLastArrivalShare)) return false;
    admit(*item, !spent_(kArrivalShare));
  }
  return true;
}

std::optional<Plan> Planner::start_now(const QueueItem& item) const {
  const auto kept = reservations_.find(item.job_id);
  const Plan reserved = kept == reservations_.end() ? Plan{} : plan_of(kept->second);
  const bool due = reserved.placements.size() == item.demand.tasks &&
                   !reserved.placements.empty() && reserved.start() <= now_;
  if (due) {
    // Its own places, if their images are there: nothing better is to be found.
    const bool images = std::all_of(
        reserved.placements.begin(), reserved.placements.end(), [&](const Placement& s) {
          const PlanMachine& machine = profile_.machines()[s.machine];
          return profile_.fetch_time(*item.demand.job, machine) <= Duration{0};
        });
    if (images && still_fits(reserved, item.demand)) return reserved;
  }
  if (item.demand.job->gang()) return profile_.fit_at(item.demand, now_);
  Plan some = profile_.fit_partially(item.demand, now_);
  if (some.placements.empty()) return std::nullopt;
  return some;
}

std::optional<Plan> Planner::displace_reservations(const QueueItem& item) {
  const JobSpec& job = *item.demand.job;
  if (!job.endless()) return std::nullopt;
  const Plan plan = profile_.fit_beside_running(item.demand, now_);
  if (plan.placements.empty()) return std::nullopt;
  const ResourceTimeline* team = profile_.team_timeline(job.team);
  const Resources wanted = job.need * static_cast<double>(plan.placements.size());
  if (team != nullptr && !team->can_fit(wanted, now_, plan.end())) return std::nullopt;
  // Looked at before any gives way: a job that waits here for long must not break the reservations
  // of others in every round.
  const std::vector<const QueueItem*> in_the_way = reserved_on(plan, item.job_id);
  const bool all_lower = std::all_of(
      in_the_way.begin(), in_the_way.end(),
      [&job](const QueueItem* other) { return other->demand.job->urgency < job.urgency; });
  if (!all_lower) return std::nullopt;
  // The next round places them again, and notes what that costs them.
  for (const QueueItem* other : in_the_way) profile_.release(other->owner);
  if (!still_fits(plan, item.demand)) return std::nullopt;
  return plan;
}

std::vector<const QueueItem*> Planner::reserved_on(const Plan& plan, const JobId& except) const {
  std::unordered_set<MachineId> machine_ids;
  for (const Placement& place : plan.placements) {
    machine_ids.insert(profile_.machines()[place.machine].machine_id);
  }
  std::vector<const QueueItem*> out;
  for (const QueueItem& item : queue_) {
    const auto r = reservations_.find(item.job_id);
    if (r == reservations_.end() || item.job_id == except) continue;
    const auto& places = r->second.places;
    const bool there = std::any_of(places.begin(), places.end(), [&](const auto& place) {
      return machine_ids.contains(place.machine_id);
    });
    if (there) out.push_back(&item);
  }
  return out;
}

void Planner::begin_now(QueueItem& item, const Plan& plan) {
  // As what runs: from the beginning of time, so that a full machine is seen at a glance.
  Plan running = plan;
  for (Placement& placement : running.placements) placement.start = WallTime{};
  profile_.allocate(running, *item.demand.job, Owner{item.owner.get() | kStarted});
  started_.push_back(Owner{item.owner.get() | kStarted});
  const auto n = static_cast<std::ptrdiff_t>(plan.placements.size());
  item.task_indices.erase(item.task_indices.begin(), item.task_indices.begin() + n);
  item.demand.tasks -= static_cast<std::uint32_t>(n);
  if (item.demand.job->together) {
    item.demand.zone = profile_.machines()[plan.placements[0].machine].zone;
  }
  for (const Placement& s : plan.placements) {
    const ZoneId& zone = profile_.machines()[s.machine].zone;
    auto& zones = item.demand.placed_tasks;
    const auto at = std::find_if(zones.begin(), zones.end(),
                                 [&](const ZoneTaskCount& placed) { return placed.zone == zone; });
    if (at == zones.end()) {
      zones.push_back({zone, 1});
    } else {
      ++at->tasks;
    }
  }
}

void Planner::reserve_remaining_tasks(const QueueItem& item) {
  // The tasks that did not start keep the job's later places; the earliest are given up.
  Reservation& r = reservations_.at(item.job_id);
  std::sort(r.places.begin(), r.places.end(),
            [](const auto& a, const auto& b) { return a.start < b.start; });
  if (r.places.size() > item.demand.tasks) {
    r.places.erase(r.places.begin(), r.places.begin() + static_cast<std::ptrdiff_t>(
                                                            r.places.size() - item.demand.tasks));
  }
  const Plan rest = plan_of(r);
  if (!rest.placements.empty() && still_fits(rest, item.demand)) {
    profile_.allocate(rest, *item.demand.job, item.owner);
  } else if (const auto later = profile_.earliest(item.demand, now_)) {
    reserve(item, *later);
  } else {
    reserve_unplaced(item);
  }
}

bool Planner::could_start_on(const QueueItem& item,
                             const std::vector<std::size_t>& timelines) const {
  return std::any_of(timelines.begin(), timelines.end(), [&](std::size_t timeline) {
    return Profile::allowed(*item.demand.job, profile_.machines()[timeline]) &&
           profile_.timeline(timeline).can_fit(item.demand.job->need, now_, now_ + item.demand.run);
  });
}

bool Planner::would_fail_again(const QueueItem& item) const {
  const auto known = failed_starts_.find(item.job_id);
  if (known == failed_starts_.end()) return false;
  const FailedStart& failure = known->second;
  const Demand& demand = item.demand;
  const bool same = failure.tasks == demand.tasks && failure.run == demand.run &&
                    failure.zone == demand.zone && demand.allowed_machines.empty() &&
                    !demand.job->spread;
  if (!same || now_ - failure.at > kFailedStartMaxAge) return false;
  // Its own time has come: what kept the room for it until now was its own reservation.
  if (first_of(reservations_.at(item.job_id)) <= now_) return false;
  if (failure.at_team_limit) {
    return !profile_.team_capacity_freed_since(demand.job->team, failure.version);
  }
  return !profile_.capacity_freed_for(demand, failure.version, failure.at, now_);
}

void Planner::note_failed_start(const QueueItem& item) {
  const Demand& demand = item.demand;
  const PlacementSearch search(profile_);
  Demand longest = demand;
  longest.run = demand.run + kLongestFetch;
  const bool at_limit = !search.team_can_fit(demand, now_);
  // Where only a longer run would meet the limit, it is not known which of the two was in the way.
  if (!at_limit && !search.team_can_fit(longest, now_)) {
    failed_starts_.erase(item.job_id);
    return;
  }
  failed_starts_[item.job_id] = {profile_.version(), now_,        demand.tasks,
                                 demand.run,         demand.zone, at_limit};
}

// Not split yet, issue 17.
// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size)
std::vector<Start> Planner::compress(std::size_t& cursor) {
  std::vector<Start> starts;
  // `blocked`: tried since anything that it could use was given up. `gone`: started, or without
  // room beside what runs, which no move of a reservation changes.
  std::vector<bool> blocked(queue_.size(), false);
  std::vector<bool> gone(queue_.size(), false);
  std::size_t i = std::min(cursor, queue_.size());
  while (i < queue_.size()) {
    if (spent_(1.0)) {
      cursor = i;
      return starts;
    }
    QueueItem& item = queue_[i];
    if (gone[i] || blocked[i] || item.not_before > now_ || !reservations_.contains(item.job_id)) {
      ++i;
      continue;
    }
    if (would_fail_again(item)) {
      blocked[i++] = true;
      continue;
    }
    if (!profile_.may_fit_beside_running(item.demand, now_)) {
      note_failed_start(item);
      gone[i++] = true;
      continue;
    }
    profile_.release_tentatively(item.owner);
    auto plan = start_now(item);
    if (!plan) plan = displace_reservations(item);
    if (!plan) {
      note_failed_start(item);
      reapply_reservation(item);
      blocked[i++] = true;
      continue;
    }
    failed_starts_.erase(item.job_id);
    // Places that it gives up by starting now; those it starts on are not among them, unless they
    // were reserved for later.
    std::vector<std::size_t> opened;
    for (const Placement& s : plan_of(reservations_.at(item.job_id)).placements) {
      const bool same = s.start <= now_ &&
                        std::any_of(plan->placements.begin(), plan->placements.end(),
                                    [&](const Placement& t) { return t.machine == s.machine; });
      if (!same) {
        opened.push_back(s.machine);
        profile_.mark_capacity_freed(s.machine);
      }
    }
    std::vector<std::uint32_t> task_indices(
        item.task_indices.begin(),
        item.task_indices.begin() + static_cast<std::ptrdiff_t>(plan->placements.size()));
    begin_now(item, *plan);
    profile_.mark_team_capacity_freed(item.demand.job->team);  // its reserved time is given up
    starts.push_back({item.job_id, *plan, std::move(task_indices)});
    if (item.demand.tasks == 0) {
      gone[i] = true;
    } else {
      blocked[i] = true;
      reserve_remaining_tasks(item);
    }
    // Back to the front of the queue (2.1): to the first that could use what was given up.
    std::size_t front = i + 1;
    for (std::size_t k = 0; k <= i && !opened.empty(); ++k) {
      if (!blocked[k] || gone[k] || !could_start_on(queue_[k], opened)) continue;
      blocked[k] = false;
      front = std::min(front, k);
    }
    i = front;
  }
  cursor = 0;
  return starts;
}

}  // namespace marblevale
