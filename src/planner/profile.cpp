#include "planner/profile.hpp"

#include <algorithm>
#include <limits>

#include "planner/placement_search.hpp"

namespace marblevale {

namespace {
constexpr WallTime kNever{std::numeric_limits<std::int64_t>::max()};
}  // namespace

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
  dearest_ = std::max(dearest_, machine.price);
  std::size_t at = machines_.size();
  if (unused_.empty()) {
    machines_.emplace_back();
    salts_.push_back(0);
    lanes_.emplace_back(Resources{});
  } else {
    at = unused_.back();
    unused_.pop_back();
  }
  lanes_[at] = Lane(machine.resources);
  salts_[at] = std::hash<MachineId>{}(machine.machine_id);
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
  break_owners_on(machine);
  lanes_[machine] = Lane(Resources{});
  machines_[machine] = PlanMachine{};
  machines_[machine].ready = kNever;
  unused_.push_back(machine);
}

void Profile::update_machine(std::size_t machine, WallTime ready, std::set<ImageId> images,
                             std::size_t fetching) {
  if (ready > machines_[machine].ready) break_owners_on(machine);
  machines_[machine].ready = ready;
  machines_[machine].images = std::move(images);
  machines_[machine].fetching = fetching;
}

void Profile::break_owners_on(std::size_t machine) {
  for (const Allocation& t : lanes_[machine].allocations()) broken_.insert(t.owner);
}

void Profile::set_team(const TeamId& team, Resources limit) {
  teams_.emplace_back(team, Lane(limit));
}

std::optional<std::size_t> Profile::find(const MachineId& machine_id) const {
  const auto it = index_.find(machine_id);
  if (it == index_.end()) return std::nullopt;
  return it->second;
}

const Lane* Profile::team(const TeamId& team) const {
  for (const auto& [name, lane] : teams_) {
    if (name == team) return &lane;
  }
  return nullptr;
}

void Profile::take(std::size_t machine, const TeamId& team, const Allocation& allocation) {
  lanes_[machine].take(allocation);
  owners_[allocation.owner].push_back(machine);
  take_team(team, allocation);
}

void Profile::take_team(const TeamId& team, const Allocation& allocation) {
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    if (teams_[i].first != team) continue;
    teams_[i].second.take(allocation);
    team_of_[allocation.owner] = i;
  }
}

void Profile::take(const Plan& plan, const JobSpec& job, Owner owner) {
  for (const Placement& spot : plan.placements) {
    take(spot.machine, job.team, {spot.start, spot.end, job.need, owner});
  }
}

void Profile::release(Owner owner) {
  broken_.erase(owner);
  if (const auto it = owners_.find(owner); it != owners_.end()) {
    for (const std::size_t lane : it->second) lanes_[lane].release(owner);
    owners_.erase(it);
  }
  if (const auto it = team_of_.find(owner); it != team_of_.end()) {
    teams_[it->second].second.release(owner);
    team_of_.erase(it);
  }
}

void Profile::release_reservations_on(std::size_t machine) {
  std::vector<Owner> owners;
  for (const Allocation& t : lanes_[machine].allocations()) {
    if (t.from.ms != 0) owners.push_back(t.owner);
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

Duration Profile::fetch_time(const JobSpec& job, const PlanMachine& machine) const {
  if (machine.pull_gb_per_s <= 0 || machine.images.contains(job.image)) return {0};
  return from_seconds(job.image_gb / machine.pull_gb_per_s *
                      static_cast<double>(1 + machine.fetching));
}

bool Profile::intact(Owner owner) const {
  const auto lanes = owners_.find(owner);
  const auto limit = team_of_.find(owner);
  if (lanes == owners_.end() || broken_.contains(owner)) return false;
  if (limit != team_of_.end() && !teams_[limit->second].second.intact(owner)) return false;
  return std::all_of(lanes->second.begin(), lanes->second.end(), [&](std::size_t lane) {
    ++looked_;
    return lanes_[lane].intact(owner);
  });
}

bool Profile::holds(const Plan& plan, const JobSpec& job) const {
  // Quick and strict first: all tasks of the plan that overlap count as if they ran at once.
  const auto strictly = [&] {
    const Lane* limit = team(job.team);
    for (std::size_t i = 0; i < plan.placements.size(); ++i) {
      const Placement& spot = plan.placements[i];
      double there = 1;
      double all = 1;
      for (std::size_t k = 0; k < i; ++k) {
        if (plan.placements[k].end <= spot.start || spot.end <= plan.placements[k].start) continue;
        ++all;
        if (plan.placements[k].machine == spot.machine) ++there;
      }
      ++looked_;
      if (!lanes_[spot.machine].takes(job.need * there, spot.start, spot.end)) return false;
      if (limit != nullptr && !limit->takes(job.need * all, spot.start, spot.end)) return false;
    }
    return true;
  };
  for (const Placement& spot : plan.placements) {
    if (spot.machine >= machines_.size() || machines_[spot.machine].ready > spot.start ||
        machines_[spot.machine].machine_id == MachineId{}) {
      return false;
    }
  }
  if (strictly()) return true;
  // Only the lanes that the plan touches are tried, on copies.
  std::vector<std::pair<std::size_t, Lane>> scratch;
  const Lane* limit = team(job.team);
  std::optional<Lane> team_scratch;
  if (limit != nullptr) team_scratch = *limit;
  for (const Placement& spot : plan.placements) {
    ++looked_;
    auto lane = std::find_if(scratch.begin(), scratch.end(),
                             [&](const auto& entry) { return entry.first == spot.machine; });
    if (lane == scratch.end()) {
      scratch.emplace_back(spot.machine, lanes_[spot.machine]);
      lane = std::prev(scratch.end());
    }
    if (!lane->second.takes(job.need, spot.start, spot.end)) return false;
    if (team_scratch && !team_scratch->takes(job.need, spot.start, spot.end)) return false;
    const Allocation allocation{spot.start, spot.end, job.need, Owner{}};
    lane->second.take(allocation);
    if (team_scratch) team_scratch->take(allocation);
  }
  return true;
}

std::optional<Plan> Profile::fit_at(const Demand& demand, WallTime at) const {
  return PlacementSearch(*this).fit_at(demand, at);
}

Plan Profile::fit_some(const Demand& demand, WallTime at) const {
  return PlacementSearch(*this).fit_some(demand, at);
}

std::optional<Plan> Profile::earliest(const Demand& demand, WallTime from) const {
  return PlacementSearch(*this).earliest(demand, from);
}

bool Profile::room_beside_running(const Demand& demand, WallTime at) const {
  return PlacementSearch(*this).room_beside_running(demand, at);
}

}  // namespace marblevale
