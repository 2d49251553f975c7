#include "planner/profile.hpp"

#include <algorithm>
#include <limits>

namespace marblevale {

namespace {
constexpr std::size_t kMaxMoments = 200;
constexpr double kPriceSeconds = 30;  // waiting that the dearest machine, used whole, is worth
constexpr double kPatientFetch = 0.3;
}  // namespace

void Lane::release(Owner owner) {
  std::erase_if(taken_, [&](const Taken& t) { return t.owner == owner; });
}

Room Lane::free(Wall from, Wall to) const {
  // What is taken changes for the worse only where something begins.
  Room most{};
  const auto at = [this](Wall moment) {
    Room sum{};
    for (const Taken& t : taken_) {
      if (t.from <= moment && moment < t.to) sum += t.room;
    }
    return sum;
  };
  most = at(from);
  for (const Taken& t : taken_) {
    if (t.from <= from || t.from >= to) continue;
    const Room sum = at(t.from);
    most = {std::max(most.cpus, sum.cpus), std::max(most.gpus, sum.gpus),
            std::max(most.memory_gb, sum.memory_gb)};
  }
  return whole_ - most;
}

Wall Plan::first_start() const {
  Wall first{std::numeric_limits<std::int64_t>::max()};
  for (const Spot& s : spots) first = std::min(first, s.start);
  return first;
}

Wall Plan::start() const {
  Wall last{};
  for (const Spot& s : spots) last = std::max(last, s.start);
  return last;
}

Wall Plan::end() const {
  Wall last{};
  for (const Spot& s : spots) last = std::max(last, s.end);
  return last;
}

std::size_t Profile::add_machine(PlanMachine machine) {
  dearest_ = std::max(dearest_, machine.price);
  lanes_.emplace_back(machine.room);
  machines_->push_back(std::move(machine));
  return machines_->size() - 1;
}

void Profile::set_team(const TeamId& team, Room limit) { teams_.emplace_back(team, Lane(limit)); }

const Lane* Profile::team(const TeamId& team) const {
  for (const auto& [name, lane] : teams_) {
    if (name == team) return &lane;
  }
  return nullptr;
}

void Profile::take(std::size_t machine, const TeamId& team, const Taken& taken) {
  lanes_[machine].take(taken);
  take_team(team, taken);
}

void Profile::take_team(const TeamId& team, const Taken& taken) {
  for (auto& [name, lane] : teams_) {
    if (name == team) lane.take(taken);
  }
}

void Profile::take(const Plan& plan, const JobSpec& job, Owner owner) {
  for (const Spot& spot : plan.spots) {
    take(spot.machine, job.crew, {spot.start, spot.end, job.need, owner});
  }
}

void Profile::release(Owner owner) {
  for (Lane& lane : lanes_) lane.release(owner);
  for (auto& [name, lane] : teams_) lane.release(owner);
}

bool Profile::allowed(const JobSpec& job, const PlanMachine& machine) {
  if (machine.spot && !job.loaners) return false;
  if (job.district && *job.district != machine.zone) return false;
  if (!job.builds.empty() &&
      std::find(job.builds.begin(), job.builds.end(), machine.build) == job.builds.end()) {
    return false;
  }
  return fits(job.need, machine.room);
}

Span Profile::fetch_time(const JobSpec& job, const PlanMachine& machine) const {
  if (machine.images.contains(job.bundle) || machine.pull_gb_per_s <= 0) return {0};
  return from_seconds(job.image_gb / machine.pull_gb_per_s *
                      static_cast<double>(1 + machine.fetching));
}

bool Profile::holds(const Plan& plan, const JobSpec& job) const {
  const Lane* limit = team(job.crew);
  // Quick and strict first: all tasks of the plan that overlap count as if they ran at once.
  const auto strictly = [&] {
    for (std::size_t i = 0; i < plan.spots.size(); ++i) {
      const Spot& spot = plan.spots[i];
      double there = 1;
      double all = 1;
      for (std::size_t k = 0; k < i; ++k) {
        if (plan.spots[k].end <= spot.start || spot.end <= plan.spots[k].start) continue;
        ++all;
        if (plan.spots[k].machine == spot.machine) ++there;
      }
      if (!fits(job.need * there, lanes_[spot.machine].free(spot.start, spot.end))) return false;
      if (limit != nullptr && !fits(job.need * all, limit->free(spot.start, spot.end)))
        return false;
    }
    return true;
  };
  for (const Spot& spot : plan.spots) {
    if (spot.machine >= machines_->size() || (*machines_)[spot.machine].ready > spot.start) {
      return false;
    }
  }
  if (strictly()) return true;
  Profile scratch = *this;
  const Owner own{std::numeric_limits<std::uint64_t>::max()};
  for (const Spot& spot : plan.spots) {
    if (!fits(job.need, scratch.lanes_[spot.machine].free(spot.start, spot.end))) return false;
    const Lane* scratch_limit = scratch.team(job.crew);
    if (scratch_limit != nullptr && !fits(job.need, scratch_limit->free(spot.start, spot.end))) {
      return false;
    }
    scratch.take(spot.machine, job.crew, {spot.start, spot.end, job.need, own});
  }
  return true;
}

double Profile::price_weight(double share, const PlanMachine& machine) const {
  return dearest_ > 0 ? kPriceSeconds * share * machine.price / dearest_ : 0;
}

/// Tasks placed so far while one demand is tried at one moment: what they take of each machine.
struct Profile::Trial {
  std::vector<std::pair<std::size_t, Room>> used;
  Room team_used{};

  [[nodiscard]] Room on(std::size_t machine) const {
    for (const auto& [index, room] : used) {
      if (index == machine) return room;
    }
    return {};
  }
  void add(std::size_t machine, const Room& room) {
    team_used += room;
    for (auto& [index, sum] : used) {
      if (index == machine) {
        sum += room;
        return;
      }
    }
    used.emplace_back(machine, room);
  }
};

std::optional<Plan> Profile::place_in(const Demand& demand, Wall at, std::optional<ZoneId> zone,
                                      bool partly) const {
  const JobSpec& job = *demand.job;
  Plan plan;
  Trial trial;
  struct Candidate {
    std::size_t machine;
    Room free;
    double score;
    Span run;
  };
  std::vector<Candidate> candidates;
  for (std::size_t i = 0; i < machines_->size(); ++i) {
    const PlanMachine& m = (*machines_)[i];
    if (m.ready > at || !allowed(job, m) || (zone && m.zone != *zone)) continue;
    if (!demand.only.empty() &&
        std::find(demand.only.begin(), demand.only.end(), m.host) == demand.only.end()) {
      continue;
    }
    const Span fetch = fetch_time(job, m);
    const Span run = demand.run + fetch;
    const Room free = lanes_[i].free(at, at + run);
    if (!fits(job.need, free)) continue;
    // Sooner started, then cheaper for its share of the machine, then the fuller machine; the rest
    // is decided by job and machine together, so that no zone is favoured.
    const double share = share_of(job.need, m.room);
    const double tie =
        static_cast<double>(std::hash<std::string>{}(job.uid.get() + m.host.get()) % 997) / 1e5;
    // A job with a deadline can rather wait for its image than take what others can't do without.
    const double score = fetch.seconds() * (job.due ? kPatientFetch : 1.0) +
                         price_weight(share, m) +
                         share_of(free, m.room) * (job.gang() ? 0.2 : 1.0) + tie;
    candidates.push_back({i, free, score, run});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.score < b.score; });

  const Lane* team = this->team(job.crew);
  Span longest = demand.run;
  for (const Candidate& c : candidates) longest = std::max(longest, c.run);
  const Room team_free = team == nullptr ? Room{1e12, 1e12, 1e12} : team->free(at, at + longest);
  const std::uint32_t zone_most = job.spread ? (job.parts + 1) / 2 : job.parts;
  auto in_zone = demand.elsewhere;
  const auto zone_count = [&in_zone](const ZoneId& z) -> std::uint32_t& {
    for (auto& [name, n] : in_zone) {
      if (name == z) return n;
    }
    in_zone.emplace_back(z, 0);
    return in_zone.back().second;
  };

  std::size_t next = 0;
  for (std::uint32_t task = 0; task < demand.tasks; ++task) {
    if (!fits(trial.team_used + job.need, team_free)) break;
    // A candidate that can't take one task can't take any later one either.
    while (next < candidates.size()) {
      const Candidate& c = candidates[next];
      if (fits(job.need, c.free - trial.on(c.machine)) &&
          zone_count((*machines_)[c.machine].zone) < zone_most) {
        break;
      }
      ++next;
    }
    if (next == candidates.size()) break;
    const Candidate& chosen = candidates[next];
    trial.add(chosen.machine, job.need);
    ++zone_count((*machines_)[chosen.machine].zone);
    plan.spots.push_back({chosen.machine, at, at + chosen.run});
  }
  if (plan.spots.size() < demand.tasks && !partly) return std::nullopt;
  if (job.gang()) {
    // A gang runs from when its last task has its image, and ends together.
    const Wall end = plan.end();
    for (Spot& spot : plan.spots) spot.end = end;
    if (!partly && !holds(plan, job)) return std::nullopt;
  }
  return plan;
}

std::optional<Plan> Profile::fit_at(const Demand& demand, Wall at) const {
  if (!demand.job->together || demand.zone) return place_in(demand, at, demand.zone, false);
  // One zone for all: the one where the gang would end first, then the cheapest.
  std::vector<ZoneId> zones;
  for (const PlanMachine& m : *machines_) {
    if (std::find(zones.begin(), zones.end(), m.zone) == zones.end()) zones.push_back(m.zone);
  }
  std::optional<Plan> best;
  double best_cost = 0;
  for (const ZoneId& zone : zones) {
    auto plan = place_in(demand, at, zone, false);
    if (!plan) continue;
    double cost = (plan->end() - at).seconds();
    for (const Spot& s : plan->spots) {
      const PlanMachine& m = (*machines_)[s.machine];
      cost += price_weight(share_of(demand.job->need, m.room), m) / demand.tasks;
    }
    cost +=
        static_cast<double>(std::hash<std::string>{}(demand.job->uid.get() + zone.get()) % 997) /
        1e4;
    if (!best || cost < best_cost) {
      best = std::move(plan);
      best_cost = cost;
    }
  }
  return best;
}

Plan Profile::fit_some(const Demand& demand, Wall at) const {
  if (!demand.job->together || demand.zone) {
    return place_in(demand, at, demand.zone, true).value_or(Plan{});
  }
  // An array that must stay together chooses its zone with its first tasks.
  Plan best;
  for (const PlanMachine& m : *machines_) {
    auto plan = place_in(demand, at, m.zone, true);
    if (plan && plan->spots.size() > best.spots.size()) best = std::move(*plan);
    if (best.spots.size() == demand.tasks) break;
  }
  return best;
}

std::vector<Wall> Profile::moments(Wall from) const {
  std::vector<Wall> out{from};
  for (std::size_t i = 0; i < machines_->size(); ++i) {
    if ((*machines_)[i].ready > from) out.push_back((*machines_)[i].ready);
    for (const Taken& t : lanes_[i].taken()) {
      if (t.to > from) out.push_back(t.to);
    }
  }
  std::sort(out.begin(), out.end());
  out.erase(std::unique(out.begin(), out.end()), out.end());
  if (out.size() > kMaxMoments) {
    // Keep the last one, at which everything planned is over.
    out[kMaxMoments - 1] = out.back();
    out.resize(kMaxMoments);
  }
  return out;
}

std::optional<Plan> Profile::earliest(const Demand& demand, Wall from) const {
  const auto times = moments(from);
  if (demand.job->gang()) {
    for (const Wall at : times) {
      if (auto plan = fit_at(demand, at)) return plan;
    }
    return std::nullopt;
  }
  // An array's tasks start separately: as many as fit at each moment.
  Plan whole;
  Profile scratch = *this;
  Demand rest = demand;
  const Owner own{std::numeric_limits<std::uint64_t>::max()};
  // Later moments arise as its own earlier tasks end.
  std::set<Wall> pending(times.begin(), times.end());
  std::size_t steps = 0;
  while (!pending.empty() && rest.tasks > 0 && steps++ < kMaxMoments) {
    const Wall at = *pending.begin();
    pending.erase(pending.begin());
    const Plan some = scratch.fit_some(rest, at);
    if (some.spots.empty()) continue;
    scratch.take(some, *demand.job, own);
    for (const Spot& spot : some.spots) {
      whole.spots.push_back(spot);
      pending.insert(spot.end);
      if (demand.job->together) rest.zone = (*machines_)[spot.machine].zone;
    }
    rest.tasks -= static_cast<std::uint32_t>(some.spots.size());
  }
  if (rest.tasks > 0) return std::nullopt;
  return whole;
}

}  // namespace marblevale
