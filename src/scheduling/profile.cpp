#include "scheduling/profile.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

#include "scheduling/placement_search.hpp"

namespace marblevale {

namespace {
constexpr WallTime kNever = WallTime::max();
}  // namespace

void count_task(std::vector<ZoneTaskCount>& counts, const ZoneId& zone) {
  const auto known = std::find_if(counts.begin(), counts.end(),
                                  [&](const ZoneTaskCount& count) { return count.zone == zone; });
  if (known == counts.end()) {
    counts.push_back({zone, 1});
  } else {
    ++known->tasks;
  }
}

WallTime Plan::first_start() const {
  WallTime first = kNever;
  for (const Placement& s : placements) first = std::min(first, s.start);
  return first;
}

WallTime Plan::start() const {
  WallTime last{};
  for (const Placement& s : placements) last = std::max(last, s.start);
  return last;
}

WallTime Plan::end() const {
  WallTime last{};
  for (const Placement& s : placements) last = std::max(last, s.end);
  return last;
}

std::size_t Profile::add_machine(PlanMachine machine) {
  highest_price_ = std::max(highest_price_, machine.price);
  std::size_t at = machines_.size();
  if (free_indexes_.empty()) {
    machines_.emplace_back();
    tie_break_seeds_.push_back(0);
    timelines_.emplace_back(Resources{});
    freed_at_.emplace_back();
  } else {
    at = free_indexes_.back();
    free_indexes_.pop_back();
  }
  timelines_[at] = ResourceTimeline(machine.resources);
  mark_capacity_freed(at);
  tie_break_seeds_[at] = std::hash<MachineId>{}(machine.machine_id);
  index_[machine.machine_id] = at;
  auto group = std::find_if(groups_.begin(), groups_.end(), [&](const Group& g) {
    return g.kind.machine_type == machine.machine_type && g.kind.zone == machine.zone &&
           g.kind.spot == machine.spot;
  });
  if (group == groups_.end()) {
    groups_.push_back({machine, {}});
    group = std::prev(groups_.end());
  }
  group->members.push_back(at);
  machines_[at] = std::move(machine);
  return at;
}

void Profile::remove_machine(std::size_t machine) {
  for (Group& group : groups_) std::erase(group.members, machine);
  index_.erase(machines_[machine].machine_id);
  invalidate_owners_on(machine);
  timelines_[machine] = ResourceTimeline(Resources{});
  machines_[machine] = PlanMachine{};
  machines_[machine].ready = kNever;
  free_indexes_.push_back(machine);
}

void Profile::update_machine(std::size_t machine, WallTime ready, ImageSet images,
                             std::size_t fetching) {
  PlanMachine& known = machines_[machine];
  if (ready > known.ready) invalidate_owners_on(machine);
  if (ready < known.ready || fetching < known.fetching || images != known.images) {
    mark_capacity_freed(machine);
  }
  known.ready = ready;
  known.images = std::move(images);
  known.fetching = fetching;
}

void Profile::mark_capacity_freed(std::size_t machine) {
  next_version();
  freed_at_[machine] = version_;
}

void Profile::mark_team_capacity_freed(const TeamId& team) {
  next_version();
  for (TeamTimeline& known : teams_) {
    if (known.name == team) known.freed_at = version_;
  }
}

void Profile::invalidate_owners_on(std::size_t machine) {
  for (const Allocation& t : timelines_[machine].allocations()) invalidated_owners_.insert(t.owner);
}

void Profile::add_team(const TeamId& team, Resources limit) {
  teams_.push_back({team, ResourceTimeline(limit), {}});
}

std::optional<std::size_t> Profile::find(const MachineId& machine_id) const {
  const auto it = index_.find(machine_id);
  if (it == index_.end()) return std::nullopt;
  return it->second;
}

const ResourceTimeline* Profile::team_timeline(const TeamId& team) const {
  for (const TeamTimeline& known : teams_) {
    if (known.name == team) return &known.timeline;
  }
  return nullptr;
}

void Profile::allocate(std::size_t machine, const TeamId& team, const Allocation& allocation) {
  timelines_[machine].allocate(allocation);
  auto& owner_machines = machines_of_owner_[allocation.owner];
  if (std::find(owner_machines.begin(), owner_machines.end(), machine) == owner_machines.end())
    owner_machines.push_back(machine);
  allocate_team(team, allocation);
}

void Profile::allocate_team(const TeamId& team, const Allocation& allocation) {
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    if (teams_[i].name != team) continue;
    teams_[i].timeline.allocate(allocation);
    team_of_owner_[allocation.owner] = i;
  }
}

void Profile::allocate(const Plan& plan, const JobSpec& job, Owner owner) {
  // Tasks on the same machine at the same time become one allocation, because the cost of a
  // timeline grows with the number of allocations.
  std::vector<Placement> sorted = plan.placements;
  const auto for_each_equal_range = [&sorted](auto is_equal, auto visit) {
    for (std::size_t i = 0; i < sorted.size();) {
      std::size_t next = i + 1;
      while (next < sorted.size() && is_equal(sorted[i], sorted[next])) ++next;
      visit(sorted[i], static_cast<double>(next - i));
      i = next;
    }
  };
  std::sort(sorted.begin(), sorted.end(), [](const Placement& a, const Placement& b) {
    return std::tie(a.machine, a.start, a.end) < std::tie(b.machine, b.start, b.end);
  });
  auto& owner_machines = machines_of_owner_[owner];
  for_each_equal_range(
      [](const Placement& a, const Placement& b) {
        return a.machine == b.machine && a.start == b.start && a.end == b.end;
      },
      [&](const Placement& first, double count) {
        timelines_[first.machine].allocate({first.start, first.end, job.need * count, owner});
        if (owner_machines.empty() || owner_machines.back() != first.machine)
          owner_machines.push_back(first.machine);
      });
  std::sort(sorted.begin(), sorted.end(), [](const Placement& a, const Placement& b) {
    return std::tie(a.start, a.end) < std::tie(b.start, b.end);
  });
  for_each_equal_range(
      [](const Placement& a, const Placement& b) { return a.start == b.start && a.end == b.end; },
      [&](const Placement& first, double count) {
        allocate_team(job.team, {first.start, first.end, job.need * count, owner});
      });
}

std::vector<std::size_t> Profile::release_allocations(Owner owner) {
  invalidated_owners_.erase(owner);
  std::vector<std::size_t> owner_machines;
  if (const auto it = machines_of_owner_.find(owner); it != machines_of_owner_.end()) {
    owner_machines = std::move(it->second);
    for (const std::size_t machine : owner_machines) timelines_[machine].release(owner);
    machines_of_owner_.erase(it);
  }
  if (const auto it = team_of_owner_.find(owner); it != team_of_owner_.end()) {
    teams_[it->second].timeline.release(owner);
    team_of_owner_.erase(it);
  }
  return owner_machines;
}

void Profile::release(Owner owner) {
  const auto team = team_of_owner_.find(owner);
  if (team != team_of_owner_.end()) {
    next_version();
    teams_[team->second].freed_at = version_;
  }
  for (const std::size_t machine : release_allocations(owner)) mark_capacity_freed(machine);
}

void Profile::release_tentatively(Owner owner) { release_allocations(owner); }

bool Profile::capacity_freed_for(const Demand& demand, Version since, WallTime ready_since,
                                 WallTime now) const {
  bool found = false;
  for_each_allowed_machine(demand, demand.zone, [&](std::size_t machine) {
    if (found) return;
    const WallTime ready = machines_[machine].ready;
    const bool became_ready = ready > ready_since && ready <= now;
    if (freed_at_[machine] <= since && !became_ready) return;
    found = ready <= now && timelines_[machine].can_fit(demand.job->need, now, now + demand.run);
  });
  return found;
}

bool Profile::team_capacity_freed_since(const TeamId& team, Version since) const {
  return std::any_of(teams_.begin(), teams_.end(), [&](const TeamTimeline& known) {
    return known.name == team && known.freed_at > since;
  });
}

void Profile::release_reservations_on(std::size_t machine) {
  std::vector<Owner> owners;
  for (const Allocation& t : timelines_[machine].allocations()) {
    if (t.from != WallTime{}) owners.push_back(t.owner);
  }
  for (const Owner owner : owners) release(owner);
}

bool Profile::allowed(const JobSpec& job, const PlanMachine& machine) {
  if (machine.spot && !job.allows_spot) return false;
  if (job.required_zone && *job.required_zone != machine.zone) return false;
  if (!job.machine_types.empty() && std::find(job.machine_types.begin(), job.machine_types.end(),
                                              machine.machine_type) == job.machine_types.end()) {
    return false;
  }
  return fits(job.need, machine.resources);
}

Duration Profile::fetch_time(const JobSpec& job, const PlanMachine& machine) {
  if (machine.pull_gb_per_s <= 0 || machine.images.contains(key_of(job.image))) return Duration{0};
  return from_seconds(job.image_gb / machine.pull_gb_per_s *
                      static_cast<double>(1 + machine.fetching));
}

bool Profile::reservation_still_fits(Owner owner) const {
  const auto owner_machines = machines_of_owner_.find(owner);
  const auto limit = team_of_owner_.find(owner);
  if (owner_machines == machines_of_owner_.end() || invalidated_owners_.contains(owner))
    return false;
  if (limit != team_of_owner_.end() && !teams_[limit->second].timeline.allocations_fit(owner))
    return false;
  return std::all_of(owner_machines->second.begin(), owner_machines->second.end(),
                     [&](std::size_t machine) {
                       ++candidates_examined_;
                       return timelines_[machine].allocations_fit(owner);
                     });
}

bool Profile::still_fits(const Plan& plan, const JobSpec& job) const {
  for (const Placement& placement : plan.placements) {
    if (placement.machine >= machines_.size() ||
        machines_[placement.machine].ready > placement.start ||
        machines_[placement.machine].machine_id == MachineId{}) {
      return false;
    }
  }
  const ResourceTimeline* limit = team_timeline(job.team);
  return fits_machines(plan, job) && (limit == nullptr || fits_team_limit(plan, job, *limit));
}

bool Profile::needs_zone_check(const Demand& demand) {
  const JobSpec& job = *demand.job;
  return !job.gang() && (job.spread_zones || job.single_zone);
}

bool Profile::satisfies_zone_constraints(const Plan& plan, const Demand& demand) const {
  const JobSpec& job = *demand.job;
  if (!needs_zone_check(demand)) return true;
  std::map<ZoneId, std::uint32_t> counts;
  if (job.spread_zones) {
    for (const ZoneTaskCount& placed : demand.placed_tasks)
      counts.emplace(placed.zone, placed.tasks);
  }
  std::optional<ZoneId> only = demand.zone;
  for (const Placement& placement : plan.placements) {
    const ZoneId& zone = machines_[placement.machine].zone;
    if (job.single_zone && only && zone != *only) return false;
    only = zone;
    if (++counts[zone] > max_tasks_in_zone(job)) return false;
  }
  return true;
}

bool Profile::fits_machines(const Plan& plan, const JobSpec& job) const {
  std::vector<Placement> sorted = plan.placements;
  std::sort(sorted.begin(), sorted.end(),
            [](const Placement& a, const Placement& b) { return a.machine < b.machine; });
  for (std::size_t i = 0; i < sorted.size();) {
    std::size_t next = i + 1;
    while (next < sorted.size() && sorted[next].machine == sorted[i].machine) ++next;
    ++candidates_examined_;
    if (!fit_on_timeline(timelines_[sorted[i].machine], &sorted[i], next - i, job.need))
      return false;
    i = next;
  }
  return true;
}

bool Profile::fits_team_limit(const Plan& plan, const JobSpec& job, const ResourceTimeline& limit) {
  return fit_on_timeline(limit, plan.placements.data(), plan.placements.size(), job.need);
}

bool Profile::fit_on_timeline(const ResourceTimeline& timeline, const Placement* placements,
                              std::size_t count, const Resources& need) {
  // Fast path, stricter than needed: checks as if all tasks ran during the whole span.
  WallTime first = kNever;
  WallTime last{};
  for (std::size_t i = 0; i < count; ++i) {
    first = std::min(first, placements[i].start);
    last = std::max(last, placements[i].end);
  }
  if (timeline.can_fit(need * static_cast<double>(count), first, last)) return true;
  if (count == 1) return false;
  ResourceTimeline trial = timeline;
  for (std::size_t i = 0; i < count; ++i) {
    if (!trial.can_fit(need, placements[i].start, placements[i].end)) return false;
    trial.allocate({placements[i].start, placements[i].end, need, Owner{}});
  }
  return true;
}

std::optional<Plan> Profile::fit_at(const Demand& demand, WallTime at) const {
  return PlacementSearch(*this).fit_at(demand, at);
}

Plan Profile::fit_partially(const Demand& demand, WallTime at) const {
  return PlacementSearch(*this).fit_partially(demand, at);
}

std::optional<Plan> Profile::earliest(const Demand& demand, WallTime from) const {
  return PlacementSearch(*this).earliest(demand, from);
}

Plan Profile::fit_beside_running(const Demand& demand, WallTime at) const {
  return PlacementSearch(*this).fit_beside_running(demand, at);
}

bool Profile::may_fit_beside_running(const Demand& demand, WallTime at) const {
  return PlacementSearch(*this).may_fit_beside_running(demand, at);
}

}  // namespace marblevale
