#include "scheduling/placement_search.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <queue>

namespace marblevale {

namespace {
constexpr std::size_t kMaxSteps = 200;  // moments tried for one demand
constexpr double kPriceSeconds = 30;    // waiting that the dearest machine, used whole, is worth
constexpr double kPatientFetch = 0.3;
constexpr double kWasteSeconds =
    30;  // waiting that a whole machine's stranded accelerators are worth
constexpr double kApartSeconds = 10;  // waiting that staying in one zone is worth
/// Ends are planned to this: timelines with fewer steps are quicker to ask, and estimates are
/// rougher.
constexpr Duration kPlanningStep{1000};
const Resources kNoLimit{1e12, 1e12, 1e12};
constexpr WallTime kNever = WallTime::max();

std::uint64_t mix(std::uint64_t x) {
  // The finalizer of splitmix64: spreads what differs in a few bits.
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

Duration planned_run(const Demand& demand, Duration fetch) {
  return round_up(demand.run + fetch, kPlanningStep);
}
}  // namespace

double PlacementSearch::price_weight(double share, const PlanMachine& machine) const {
  return profile_.highest_price() > 0
             ? kPriceSeconds * share * machine.price / profile_.highest_price()
             : 0;
}

double PlacementSearch::score(const Demand& demand, std::size_t machine, Duration fetch,
                              const Resources& free) const {
  // Sooner started, then cheaper for its share of the machine, then the fuller machine; the rest is
  // decided by job and machine together, so that no zone is favoured.
  const JobSpec& job = *demand.job;
  const PlanMachine& m = profile_.machines()[machine];
  const std::uint64_t draw =
      mix(profile_.tie_break_seed(machine) ^ std::hash<JobId>{}(job.job_id)) % 997;
  // A job with a deadline can rather wait for its image than take what others can't do without.
  // What it takes of memory or CPUs beyond its share of the accelerators strands the rest of them,
  // on ordinary machines for jobs that may use no others.
  const bool strands = !m.spot && job.need.gpus > 0 && m.resources.gpus > 0;
  const double waste =
      strands ? share_of(job.need, m.resources) - job.need.gpus / m.resources.gpus : 0;
  // One that takes no accelerators leaves those of its machine without CPUs: rather where they are
  // in use already.
  const bool starves = job.need.gpus <= 0 && m.resources.gpus > 0;
  const double starved = starves ? free.gpus / m.resources.gpus : 0;
  const double apart =
      demand.preferred_zone && *demand.preferred_zone != m.zone ? kApartSeconds : 0;
  return apart + kWasteSeconds * (waste + starved) +
         to_seconds(fetch) * (job.deadline ? kPatientFetch : 1.0) +
         price_weight(share_of(job.need, m.resources), m) +
         share_of(free, m.resources) * (job.gang() ? 0.2 : 1.0) + static_cast<double>(draw) / 1e5;
}

bool PlacementSearch::team_can_fit(const Demand& demand, WallTime at) const {
  const JobSpec& job = *demand.job;
  const ResourceTimeline* team = profile_.team_timeline(job.team);
  const double tasks = job.gang() ? demand.tasks : 1;
  return team == nullptr || team->can_fit(job.need * tasks, at, at + demand.run);
}

bool PlacementSearch::may_fit_beside_running(const Demand& demand, WallTime at) const {
  const JobSpec& job = *demand.job;
  const std::uint32_t wanted = job.gang() ? demand.tasks : 1;
  std::vector<std::pair<ZoneId, std::uint32_t>> found;
  bool enough = false;
  profile_.for_each_allowed_machine(demand, demand.zone, [&](std::size_t i) {
    if (enough || profile_.machines()[i].ready > at ||
        profile_.timeline(i).no_room_beside_running(job.need, at))
      return;
    const ZoneId key = job.together ? profile_.machines()[i].zone : ZoneId{};
    auto zone = std::find_if(found.begin(), found.end(),
                             [&](const auto& entry) { return entry.first == key; });
    if (zone == found.end()) zone = found.insert(found.end(), {key, 0});
    Resources sum = job.need;
    while (zone->second < wanted && !profile_.timeline(i).no_room_beside_running(sum, at) &&
           fits(sum, profile_.timeline(i).capacity())) {
      ++zone->second;
      sum += job.need;
    }
    enough = zone->second >= wanted;
  });
  return enough;
}

struct PlacementSearch::Candidate {
  std::size_t machine;
  Resources free;
  double score;
  Duration run{};
};

std::vector<PlacementSearch::Candidate> PlacementSearch::candidates(
    const Demand& demand, WallTime at, const std::optional<ZoneId>& zone, Room room,
    Duration least_run) const {
  const JobSpec& job = *demand.job;
  std::vector<Candidate> out;
  profile_.for_each_allowed_machine(demand, zone, [&](std::size_t i) {
    const ResourceTimeline& timeline = profile_.timeline(i);
    if (profile_.machines()[i].ready > at || timeline.no_room_beside_running(job.need, at)) return;
    const Duration fetch = profile_.fetch_time(job, profile_.machines()[i]);
    const Duration run = std::max(least_run, planned_run(demand, fetch));
    const Resources free = room == Room::unreserved ? timeline.free(at, at + run)
                                                    : timeline.capacity() - timeline.running();
    if (!fits(job.need, free)) return;
    out.push_back({i, free, score(demand, i, fetch, free), run});
  });
  return out;
}

Plan PlacementSearch::assign(const Demand& demand, WallTime at, std::vector<Candidate> candidates,
                             const Resources& team_free) const {
  const JobSpec& job = *demand.job;
  // Each takes at least one task: those behind the first `tasks` are needed only for `spread`.
  const std::size_t needed =
      job.spread ? candidates.size() : std::min<std::size_t>(candidates.size(), demand.tasks);
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(needed),
                    candidates.end(),
                    [](const Candidate& a, const Candidate& b) { return a.score < b.score; });
  std::map<ZoneId, std::uint32_t> in_zone;
  for (const ZoneTaskCount& placed : demand.placed_tasks)
    in_zone.emplace(placed.zone, placed.tasks);
  const auto zone_of = [this](const Candidate& c) { return profile_.machines()[c.machine].zone; };
  Plan plan;
  Resources team_used{};
  std::size_t next = 0;
  while (plan.placements.size() < demand.tasks && fits(team_used + job.need, team_free)) {
    // A candidate that can't take one task can't take any later one either.
    while (next < needed && (!fits(job.need, candidates[next].free) ||
                             in_zone[zone_of(candidates[next])] >= max_tasks_in_zone(job))) {
      ++next;
    }
    if (next == needed) break;
    Candidate& chosen = candidates[next];
    chosen.free -= job.need;
    team_used += job.need;
    ++in_zone[zone_of(chosen)];
    plan.placements.push_back({chosen.machine, at, at + chosen.run});
  }
  return plan;
}

std::optional<Plan> PlacementSearch::place_in(const Demand& demand, WallTime at,
                                              const std::optional<ZoneId>& zone, bool partly,
                                              Duration least_run) const {
  const JobSpec& job = *demand.job;
  if (!team_can_fit(demand, at)) return std::nullopt;
  std::vector<Candidate> found = candidates(demand, at, zone, Room::unreserved, least_run);
  const ResourceTimeline* team = profile_.team_timeline(job.team);
  Duration longest = demand.run;
  for (const Candidate& c : found) longest = std::max(longest, c.run);
  const Resources team_free = team == nullptr ? kNoLimit : team->free(at, at + longest);
  Plan plan = assign(demand, at, std::move(found), team_free);
  if (plan.placements.size() < demand.tasks && !partly) return std::nullopt;
  if (!job.gang()) return plan;
  // A gang runs from when its last task has its image, and ends together.
  const WallTime end = plan.end();
  for (Placement& spot : plan.placements) spot.end = end;
  if (!partly && !profile_.still_fits(plan, job)) {
    // Machines with the image have room, but not for as long as the slowest fetch makes it.
    if (least_run >= end - at) return std::nullopt;
    return place_in(demand, at, zone, partly, end - at);
  }
  return plan;
}

Plan PlacementSearch::fit_beside_running(const Demand& demand, WallTime at) const {
  const ResourceTimeline* team = profile_.team_timeline(demand.job->team);
  const Resources team_free = team == nullptr ? kNoLimit : team->capacity() - team->running();
  return assign(demand, at, candidates(demand, at, demand.zone, Room::beside_running, Duration{0}),
                team_free);
}

std::vector<ZoneId> PlacementSearch::zones() const {
  std::vector<ZoneId> out;
  for (const Profile::Group& group : profile_.groups()) {
    if (!group.members.empty() && std::find(out.begin(), out.end(), group.kind.zone) == out.end()) {
      out.push_back(group.kind.zone);
    }
  }
  return out;
}

double PlacementSearch::plan_cost(const Demand& demand, const Plan& plan,
                                  const ZoneId& zone) const {
  double cost = 0;
  for (const Placement& s : plan.placements) {
    const PlanMachine& m = profile_.machines()[s.machine];
    cost += price_weight(share_of(demand.job->need, m.resources), m) / demand.tasks;
  }
  return cost + static_cast<double>(
                    mix(std::hash<JobId>{}(demand.job->job_id) ^ std::hash<ZoneId>{}(zone)) % 997) /
                    1e4;
}

std::optional<Plan> PlacementSearch::fit_at(const Demand& demand, WallTime at) const {
  if (!demand.job->together || demand.zone) {
    return place_in(demand, at, demand.zone, false, Duration{0});
  }
  // One zone for all: the one where the gang would end first, then the cheapest.
  std::optional<Plan> best;
  double best_cost = 0;
  for (const ZoneId& zone : zones()) {
    auto plan = place_in(demand, at, zone, false, Duration{0});
    if (!plan) continue;
    const double cost = to_seconds(plan->end() - at) + plan_cost(demand, *plan, zone);
    if (!best || cost < best_cost) {
      best = std::move(plan);
      best_cost = cost;
    }
  }
  return best;
}

Plan PlacementSearch::fit_partially(const Demand& demand, WallTime at) const {
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

// Not split yet, issue 17.
// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size)
std::optional<Plan> PlacementSearch::gang_in(const Demand& demand, WallTime from,
                                             const std::optional<ZoneId>& zone) const {
  // For each place that a task could have on a timeline (the first, the second, ...), the next
  // moment at which it is free. The gang can't start before as many are free as it has tasks, so
  // that moment is tried next; only timelines that were free before it are asked anew.
  const JobSpec& job = *demand.job;
  struct Open {
    WallTime next;
    std::size_t machine;
    std::uint32_t nth;
    Duration run{};
  };
  std::vector<Open> opens;
  const auto ask = [&](Open& open, WallTime at) {
    profile_.count_candidate();
    const WallTime begin = std::max(at, profile_.machines()[open.machine].ready);
    const auto next = profile_.timeline(open.machine)
                          .earliest_fit(job.need * static_cast<double>(open.nth), begin, open.run);
    open.next = next.value_or(kNever);
  };
  profile_.for_each_allowed_machine(demand, zone, [&](std::size_t i) {
    const Duration run = planned_run(demand, profile_.fetch_time(job, profile_.machines()[i]));
    for (std::uint32_t nth = 1; nth <= demand.tasks; ++nth) {
      if (!fits(job.need * static_cast<double>(nth), profile_.machines()[i].resources)) break;
      Open open{kNever, i, nth, run};
      ask(open, from);
      if (open.next == kNever) break;
      opens.push_back(open);
    }
  });
  if (opens.size() < demand.tasks || demand.tasks == 0) return std::nullopt;
  const ResourceTimeline* limit = profile_.team_timeline(job.team);
  const Resources all = job.need * static_cast<double>(demand.tasks);
  WallTime at = from;
  for (std::size_t step = 0; step < kMaxSteps; ++step) {
    if (limit != nullptr) {
      const auto open = limit->earliest_fit(all, at, demand.run);
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
      if (const auto change = profile_.timeline(open.machine).next_change_after(at)) {
        later = std::min(later, *change);
      }
    }
    if (later == kNever) return std::nullopt;
    at = later;
  }
  return std::nullopt;
}

// Not split yet, issue 17.
// NOLINTNEXTLINE(readability-function-size)
std::optional<Plan> PlacementSearch::array_in(const Demand& demand, WallTime from,
                                              const std::optional<ZoneId>& zone) const {
  // Its tasks start separately: each takes the next free place, the best among equals.
  const JobSpec& job = *demand.job;
  struct Open {
    WallTime next;
    double score;
    std::size_t machine;
    Duration run{};
    bool operator>(const Open& o) const { return next != o.next ? next > o.next : score > o.score; }
  };
  std::priority_queue<Open, std::vector<Open>, std::greater<>> opens;
  std::unordered_map<std::size_t, ResourceTimeline> scratch;
  const auto timeline_of = [&](std::size_t i) -> const ResourceTimeline& {
    const auto it = scratch.find(i);
    return it == scratch.end() ? profile_.timeline(i) : it->second;
  };
  const auto ask = [&](std::size_t i, Duration run, WallTime at) {
    profile_.count_candidate();
    const ResourceTimeline& timeline = timeline_of(i);
    const auto next =
        timeline.earliest_fit(job.need, std::max(at, profile_.machines()[i].ready), run);
    if (!next) return;
    const Resources left = timeline.capacity() - timeline.running();
    opens.push({*next, score(demand, i, run - demand.run, left), i, run});
  };
  profile_.for_each_allowed_machine(demand, zone, [&](std::size_t i) {
    ask(i, planned_run(demand, profile_.fetch_time(job, profile_.machines()[i])), from);
  });
  std::optional<ResourceTimeline> limit;
  const ResourceTimeline* team = profile_.team_timeline(job.team);
  if (team != nullptr) limit = *team;
  const std::uint32_t zone_most = max_tasks_in_zone(job);
  std::unordered_map<ZoneId, std::uint32_t> in_zone;
  for (const auto& [name, count] : demand.placed_tasks) in_zone[name] += count;
  Plan plan;
  const std::size_t most_steps = kMaxSteps + 4 * std::size_t{demand.tasks};
  for (std::size_t step = 0; plan.placements.size() < demand.tasks; ++step) {
    if (opens.empty() || step > most_steps) return std::nullopt;
    const Open open = opens.top();
    opens.pop();
    if (job.spread && in_zone[profile_.machines()[open.machine].zone] >= zone_most) continue;
    const WallTime end = open.next + open.run;
    if (limit && !limit->can_fit(job.need, open.next, end)) {
      const auto later = limit->earliest_fit(job.need, open.next, open.run);
      if (later) ask(open.machine, open.run, *later);
      continue;
    }
    const Allocation allocation{open.next, end, job.need, Owner{}};
    if (limit) limit->allocate(allocation);
    scratch.try_emplace(open.machine, timeline_of(open.machine)).first->second.allocate(allocation);
    ++in_zone[profile_.machines()[open.machine].zone];
    plan.placements.push_back({open.machine, open.next, end});
    ask(open.machine, open.run, from);
  }
  return plan;
}

std::optional<Plan> PlacementSearch::earliest(const Demand& demand, WallTime from) const {
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
        plan->start() == from ? plan_cost(demand, *plan, zone) + to_seconds(plan->end() - from) : 0;
    if (!best || plan->start() < best->start() ||
        (plan->start() == best->start() && cost < best_cost)) {
      best = std::move(plan);
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace marblevale
