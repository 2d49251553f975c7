#include "planner/profile.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <queue>

namespace marblevale {

namespace {
constexpr std::size_t kMaxSteps = 200;  // moments tried for one demand
constexpr double kPriceSeconds = 30;    // waiting that the dearest machine, used whole, is worth
constexpr double kPatientFetch = 0.3;
constexpr double kWasteSeconds =
    30;  // waiting that a whole machine's starved accelerators are worth
constexpr double kApartSeconds = 10;  // waiting that staying in one zone is worth
constexpr double kNothing = 1e-7;     // what rounding leaves
constexpr WallTime kNever{std::numeric_limits<std::int64_t>::max()};

std::uint64_t mix(std::uint64_t x) {
  // The finalizer of splitmix64: spreads what differs in a few bits.
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

Resources most_of(const Resources& a, const Resources& b) {
  return {std::max(a.cpus, b.cpus), std::max(a.gpus, b.gpus), std::max(a.memory_gb, b.memory_gb)};
}
}  // namespace

std::size_t Lane::step_at(WallTime at) const {
  // The step that holds at `at`, or the number of steps if that is before the first.
  const auto after = std::upper_bound(steps_.begin(), steps_.end(), at,
                                      [](WallTime t, const Step& step) { return t < step.from; });
  return after == steps_.begin() ? steps_.size()
                                 : static_cast<std::size_t>(after - steps_.begin()) - 1;
}

std::size_t Lane::cut_at(WallTime at) {
  const auto it = std::lower_bound(steps_.begin(), steps_.end(), at,
                                   [](const Step& step, WallTime t) { return step.from < t; });
  const auto index = it - steps_.begin();
  if (it == steps_.end() || it->from != at) {
    const Resources used = it == steps_.begin() ? Resources{} : std::prev(it)->used;
    steps_.insert(it, Step{at, used});
  }
  return static_cast<std::size_t>(index);
}

void Lane::add(const Allocation& allocation, double sign) {
  if (allocation.to <= allocation.from) return;
  const std::size_t begin = cut_at(allocation.from);
  const std::size_t end = cut_at(allocation.to);
  const Resources change = allocation.resources * sign;
  for (std::size_t i = begin; i < end; ++i) steps_[i].used += change;
  total_ += change;
  // Borders that no longer part anything go, and with them what rounding has left.
  const auto none = [](double x) { return std::abs(x) < kNothing; };
  const auto same = [&](const Resources& x, const Resources& y) {
    return none(x.cpus - y.cpus) && none(x.gpus - y.gpus) && none(x.memory_gb - y.memory_gb);
  };
  for (std::size_t i = std::min(end, steps_.size() - 1) + 1; i-- > begin;) {
    const Resources before = i == 0 ? Resources{} : steps_[i - 1].used;
    if (same(steps_[i].used, before)) {
      steps_.erase(steps_.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }
}

void Lane::take(const Allocation& allocation) {
  allocations_.push_back(allocation);
  add(allocation, 1);
  if (allocation.from.ms == 0) {
    running_until_ =
        running_until_.ms == 0 ? allocation.to : std::min(running_until_, allocation.to);
    running_ += allocation.resources;
  }
}

void Lane::release(Owner owner) {
  bool ran = false;
  for (std::size_t i = allocations_.size(); i-- > 0;) {
    if (allocations_[i].owner != owner) continue;
    add(allocations_[i], -1);
    ran = ran || allocations_[i].from.ms == 0;
    allocations_[i] = allocations_.back();
    allocations_.pop_back();
  }
  if (allocations_.empty()) {
    steps_.clear();
    total_ = Resources{};
  }
  if (!ran) return;
  running_ = Resources{};
  running_until_ = WallTime{};
  for (const Allocation& t : allocations_) {
    if (t.from.ms != 0) continue;
    running_until_ = running_until_.ms == 0 ? t.to : std::min(running_until_, t.to);
    running_ += t.resources;
  }
}

Resources Lane::free(WallTime from, WallTime to) const {
  Resources most{};
  std::size_t i = step_at(from);
  if (i == steps_.size()) i = 0;
  for (; i < steps_.size() && steps_[i].from < to; ++i) most = most_of(most, steps_[i].used);
  return whole_ - most;
}

bool Lane::takes(const Resources& need, WallTime from, WallTime to) const {
  if (fits(need + total_, whole_)) return true;
  std::size_t i = step_at(from);
  if (i == steps_.size()) i = 0;
  for (; i < steps_.size() && steps_[i].from < to; ++i) {
    if (!fits(need + steps_[i].used, whole_)) return false;
  }
  return true;
}

std::optional<WallTime> Lane::next(const Resources& need, WallTime from, Duration run) const {
  if (!fits(need, whole_)) return std::nullopt;
  if (fits(need + total_, whole_)) return from;
  WallTime begin = from;
  std::size_t i = step_at(from);
  if (i == steps_.size()) i = 0;
  for (; i < steps_.size() && steps_[i].from < begin + run; ++i) {
    if (fits(need + steps_[i].used, whole_)) continue;
    // Too much is used here: not before the next step.
    if (i + 1 == steps_.size()) return std::nullopt;  // cannot be: the last step uses nothing
    begin = steps_[i + 1].from;
  }
  return begin;
}

bool Lane::intact(Owner owner) const {
  if (fits(total_, whole_)) return true;
  return std::all_of(allocations_.begin(), allocations_.end(), [&](const Allocation& t) {
    return t.owner != owner || takes(Resources{}, t.from, t.to);
  });
}

std::optional<WallTime> Lane::change_after(WallTime at) const {
  const auto after = std::upper_bound(steps_.begin(), steps_.end(), at,
                                      [](WallTime t, const Step& step) { return t < step.from; });
  if (after == steps_.end()) return std::nullopt;
  return after->from;
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

double Profile::price_weight(double share, const PlanMachine& machine) const {
  return dearest_ > 0 ? kPriceSeconds * share * machine.price / dearest_ : 0;
}

template <typename Each>
void Profile::each_allowed(const Demand& demand, const std::optional<ZoneId>& zone,
                           Each each) const {
  for (const Group& group : groups_) {
    if (group.members.empty() || (zone && group.kind.zone != *zone)) continue;
    if (!allowed(*demand.job, group.kind)) continue;
    for (const std::size_t i : group.members) {
      if (!demand.only.empty() && std::find(demand.only.begin(), demand.only.end(),
                                            machines_[i].machine_id) == demand.only.end()) {
        continue;
      }
      ++looked_;
      each(i);
    }
  }
}

double Profile::score(const Demand& demand, std::size_t machine, Duration fetch,
                      const Resources& free) const {
  // Sooner started, then cheaper for its share of the machine, then the fuller machine; the rest is
  // decided by job and machine together, so that no zone is favoured.
  const JobSpec& job = *demand.job;
  const PlanMachine& m = machines_[machine];
  const std::uint64_t draw = mix(salts_[machine] ^ std::hash<JobId>{}(job.job_id)) % 997;
  // A job with a deadline can rather wait for its image than take what others can't do without.
  // What it takes of memory or CPUs beyond its share of the accelerators strands the rest of them,
  // on ordinary machines for jobs that may use no others.
  const bool strands = !m.spot && job.need.gpus > 0 && m.resources.gpus > 0;
  const double waste =
      strands ? share_of(job.need, m.resources) - job.need.gpus / m.resources.gpus : 0;
  const double apart = demand.lean && *demand.lean != m.zone ? kApartSeconds : 0;
  return apart + kWasteSeconds * waste + fetch.seconds() * (job.deadline ? kPatientFetch : 1.0) +
         price_weight(share_of(job.need, m.resources), m) +
         share_of(free, m.resources) * (job.gang() ? 0.2 : 1.0) + static_cast<double>(draw) / 1e5;
}

bool Profile::room_beside_running(const Demand& demand, WallTime at) const {
  const JobSpec& job = *demand.job;
  const std::uint32_t wanted = job.gang() ? demand.tasks : 1;
  std::vector<std::pair<ZoneId, std::uint32_t>> found;
  bool enough = false;
  each_allowed(demand, demand.zone, [&](std::size_t i) {
    if (enough || machines_[i].ready > at || lanes_[i].surely_full(job.need, at)) return;
    const ZoneId key = job.together ? machines_[i].zone : ZoneId{};
    auto zone = std::find_if(found.begin(), found.end(),
                             [&](const auto& entry) { return entry.first == key; });
    if (zone == found.end()) zone = found.insert(found.end(), {key, 0});
    Resources sum = job.need;
    while (zone->second < wanted && !lanes_[i].surely_full(sum, at) &&
           fits(sum, lanes_[i].whole())) {
      ++zone->second;
      sum += job.need;
    }
    enough = zone->second >= wanted;
  });
  return enough;
}

/// Tasks placed so far while one demand is tried at one moment: what they take of each machine.
struct Profile::Trial {
  std::unordered_map<std::size_t, Resources> used;
  Resources team_used{};

  [[nodiscard]] Resources on(std::size_t machine) const {
    const auto it = used.find(machine);
    return it == used.end() ? Resources{} : it->second;
  }
  void add(std::size_t machine, const Resources& resources) {
    team_used += resources;
    used[machine] += resources;
  }
};

std::optional<Plan> Profile::place_in(const Demand& demand, WallTime at,
                                      const std::optional<ZoneId>& zone, bool partly,
                                      Duration least_run) const {
  const JobSpec& job = *demand.job;
  struct Candidate {
    std::size_t machine;
    Resources free;
    double score;
    Duration run;
  };
  std::vector<Candidate> candidates;
  each_allowed(demand, zone, [&](std::size_t i) {
    if (machines_[i].ready > at || lanes_[i].surely_full(job.need, at)) return;
    const Duration fetch = fetch_time(job, machines_[i]);
    const Duration run = std::max(least_run, demand.run + fetch);
    const Resources free = lanes_[i].free(at, at + run);
    if (!fits(job.need, free)) return;
    candidates.push_back({i, free, score(demand, i, fetch, free), run});
  });
  // Each takes at least one task: those behind the first `tasks` are needed only for `spread`.
  const std::size_t needed =
      job.spread ? candidates.size() : std::min<std::size_t>(candidates.size(), demand.tasks);
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(needed),
                    candidates.end(),
                    [](const Candidate& a, const Candidate& b) { return a.score < b.score; });

  const Lane* team = this->team(job.team);
  Duration longest = demand.run;
  for (const Candidate& c : candidates) longest = std::max(longest, c.run);
  const Resources team_free =
      team == nullptr ? Resources{1e12, 1e12, 1e12} : team->free(at, at + longest);
  const std::uint32_t zone_most = job.spread ? (job.task_count + 1) / 2 : job.task_count;
  auto in_zone = demand.elsewhere;
  const auto zone_count = [&in_zone](const ZoneId& z) -> std::uint32_t& {
    for (auto& [name, n] : in_zone) {
      if (name == z) return n;
    }
    in_zone.emplace_back(z, 0);
    return in_zone.back().second;
  };

  Plan plan;
  Trial trial;
  std::size_t next = 0;
  for (std::uint32_t task = 0; task < demand.tasks; ++task) {
    if (!fits(trial.team_used + job.need, team_free)) break;
    // A candidate that can't take one task can't take any later one either.
    while (next < needed) {
      const Candidate& c = candidates[next];
      if (fits(job.need, c.free - trial.on(c.machine)) &&
          zone_count(machines_[c.machine].zone) < zone_most) {
        break;
      }
      ++next;
    }
    if (next == needed) break;
    const Candidate& chosen = candidates[next];
    trial.add(chosen.machine, job.need);
    ++zone_count(machines_[chosen.machine].zone);
    plan.placements.push_back({chosen.machine, at, at + chosen.run});
  }
  if (plan.placements.size() < demand.tasks && !partly) return std::nullopt;
  if (job.gang()) {
    // A gang runs from when its last task has its image, and ends together.
    const WallTime end = plan.end();
    for (Placement& spot : plan.placements) spot.end = end;
    if (!partly && !holds(plan, job)) {
      // Machines with the image have room, but not for as long as the slowest fetch makes it.
      if (least_run >= end - at) return std::nullopt;
      return place_in(demand, at, zone, partly, end - at);
    }
  }
  return plan;
}

std::vector<ZoneId> Profile::zones() const {
  std::vector<ZoneId> out;
  for (const Group& group : groups_) {
    if (!group.members.empty() && std::find(out.begin(), out.end(), group.kind.zone) == out.end()) {
      out.push_back(group.kind.zone);
    }
  }
  return out;
}

double Profile::plan_cost(const Demand& demand, const Plan& plan, const ZoneId& zone) const {
  double cost = 0;
  for (const Placement& s : plan.placements) {
    const PlanMachine& m = machines_[s.machine];
    cost += price_weight(share_of(demand.job->need, m.resources), m) / demand.tasks;
  }
  return cost + static_cast<double>(
                    mix(std::hash<JobId>{}(demand.job->job_id) ^ std::hash<ZoneId>{}(zone)) % 997) /
                    1e4;
}

std::optional<Plan> Profile::fit_at(const Demand& demand, WallTime at) const {
  if (!demand.job->together || demand.zone) {
    return place_in(demand, at, demand.zone, false, Duration{0});
  }
  // One zone for all: the one where the gang would end first, then the cheapest.
  std::optional<Plan> best;
  double best_cost = 0;
  for (const ZoneId& zone : zones()) {
    auto plan = place_in(demand, at, zone, false, Duration{0});
    if (!plan) continue;
    const double cost = (plan->end() - at).seconds() + plan_cost(demand, *plan, zone);
    if (!best || cost < best_cost) {
      best = std::move(plan);
      best_cost = cost;
    }
  }
  return best;
}

Plan Profile::fit_some(const Demand& demand, WallTime at) const {
  if (!demand.job->together || demand.zone) {
    return place_in(demand, at, demand.zone, true, Duration{0}).value_or(Plan{});
  }
  // An array that must stay together chooses its zone with its first tasks.
  Plan best;
  for (const ZoneId& zone : zones()) {
    auto plan = place_in(demand, at, zone, true, Duration{0});
    if (plan && plan->placements.size() > best.placements.size()) best = std::move(*plan);
  }
  return best;
}

std::optional<Plan> Profile::gang_in(const Demand& demand, WallTime from,
                                     const std::optional<ZoneId>& zone) const {
  // For each place that a task could have on a lane (the first, the second, ...), the next moment
  // at which it is free. The gang can't start before as many are free as it has tasks, so that
  // moment is tried next; only lanes that were free before it are asked anew.
  const JobSpec& job = *demand.job;
  struct Open {
    WallTime next;
    std::size_t machine;
    std::uint32_t nth;
    Duration run;
  };
  std::vector<Open> opens;
  const auto ask = [&](Open& open, WallTime at) {
    ++looked_;
    const WallTime begin = std::max(at, machines_[open.machine].ready);
    const auto next =
        lanes_[open.machine].next(job.need * static_cast<double>(open.nth), begin, open.run);
    open.next = next.value_or(kNever);
  };
  each_allowed(demand, zone, [&](std::size_t i) {
    const Duration run = demand.run + fetch_time(job, machines_[i]);
    for (std::uint32_t nth = 1; nth <= demand.tasks; ++nth) {
      if (!fits(job.need * static_cast<double>(nth), machines_[i].resources)) break;
      Open open{kNever, i, nth, run};
      ask(open, from);
      if (open.next == kNever) break;
      opens.push_back(open);
    }
  });
  if (opens.size() < demand.tasks || demand.tasks == 0) return std::nullopt;
  const Lane* limit = team(job.team);
  const Resources all = job.need * static_cast<double>(demand.tasks);
  WallTime at = from;
  for (std::size_t step = 0; step < kMaxSteps; ++step) {
    if (limit != nullptr) {
      const auto open = limit->next(all, at, demand.run);
      if (!open) return std::nullopt;
      at = *open;
    }
    for (Open& open : opens) {
      if (open.next < at) ask(open, at);
    }
    const auto nth = opens.begin() + (demand.tasks - 1);
    std::nth_element(opens.begin(), nth, opens.end(),
                     [](const Open& a, const Open& b) { return a.next < b.next; });
    if (nth->next == kNever) return std::nullopt;
    if (nth->next > at) {
      at = nth->next;
      continue;
    }
    if (auto plan = place_in(demand, at, zone, false, Duration{0})) return plan;
    // It fits by count, but not for as long as it would take: the next moment at which any changes.
    WallTime later = kNever;
    for (const Open& open : opens) {
      if (open.next > at) later = std::min(later, open.next);
      if (const auto change = lanes_[open.machine].change_after(at)) {
        later = std::min(later, *change);
      }
    }
    if (later == kNever) return std::nullopt;
    at = later;
  }
  return std::nullopt;
}

std::optional<Plan> Profile::array_in(const Demand& demand, WallTime from,
                                      const std::optional<ZoneId>& zone) const {
  // Its tasks start separately: each takes the next free place, the best among equals.
  const JobSpec& job = *demand.job;
  struct Open {
    WallTime next;
    double score;
    std::size_t machine;
    Duration run;
    bool operator>(const Open& o) const { return next != o.next ? next > o.next : score > o.score; }
  };
  std::priority_queue<Open, std::vector<Open>, std::greater<>> opens;
  std::unordered_map<std::size_t, Lane> scratch;
  const auto lane_of = [&](std::size_t i) -> const Lane& {
    const auto it = scratch.find(i);
    return it == scratch.end() ? lanes_[i] : it->second;
  };
  const auto ask = [&](std::size_t i, Duration run, WallTime at) {
    ++looked_;
    const Lane& lane = lane_of(i);
    const auto next = lane.next(job.need, std::max(at, machines_[i].ready), run);
    if (!next) return;
    const Resources left = lane.whole() - lane.running();
    opens.push({*next, score(demand, i, run - demand.run, left), i, run});
  };
  each_allowed(demand, zone,
               [&](std::size_t i) { ask(i, demand.run + fetch_time(job, machines_[i]), from); });
  std::optional<Lane> limit;
  const Lane* team = this->team(job.team);
  if (team != nullptr) limit = *team;
  const std::uint32_t zone_most = job.spread ? (job.task_count + 1) / 2 : job.task_count;
  std::unordered_map<ZoneId, std::uint32_t> in_zone;
  for (const auto& [name, n] : demand.elsewhere) in_zone[name] += n;
  Plan plan;
  const std::size_t most_steps = kMaxSteps + 4 * std::size_t{demand.tasks};
  for (std::size_t step = 0; plan.placements.size() < demand.tasks; ++step) {
    if (opens.empty() || step > most_steps) return std::nullopt;
    const Open open = opens.top();
    opens.pop();
    if (job.spread && in_zone[machines_[open.machine].zone] >= zone_most) continue;
    const WallTime end = open.next + open.run;
    if (limit && !limit->takes(job.need, open.next, end)) {
      const auto later = limit->next(job.need, open.next, open.run);
      if (later) ask(open.machine, open.run, *later);
      continue;
    }
    const Allocation allocation{open.next, end, job.need, Owner{}};
    if (limit) limit->take(allocation);
    scratch.try_emplace(open.machine, lane_of(open.machine)).first->second.take(allocation);
    ++in_zone[machines_[open.machine].zone];
    plan.placements.push_back({open.machine, open.next, end});
    ask(open.machine, open.run, from);
  }
  return plan;
}

std::optional<Plan> Profile::earliest(const Demand& demand, WallTime from) const {
  const auto in = [&](const std::optional<ZoneId>& zone) {
    return demand.job->gang() ? gang_in(demand, from, zone) : array_in(demand, from, zone);
  };
  if (!demand.job->together || demand.zone) return in(demand.zone);
  std::optional<Plan> best;
  double best_cost = 0;
  for (const ZoneId& zone : zones()) {
    auto plan = in(zone);
    if (!plan) continue;
    // The start is what is granted; what it costs decides only between equal ones.
    const double cost =
        plan->start() == from ? plan_cost(demand, *plan, zone) + (plan->end() - from).seconds() : 0;
    if (!best || plan->start() < best->start() ||
        (plan->start() == best->start() && cost < best_cost)) {
      best = std::move(plan);
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace marblevale
