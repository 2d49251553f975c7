#include "scheduling/placement_search.hpp"

#include <algorithm>
#include <map>

#include "scheduling/array_search.hpp"
#include "scheduling/gang_search.hpp"
#include "scheduling/placement_score.hpp"

namespace marblevale {

namespace {
/// Free resources of a team without a limit.
const Resources kNoLimit{1e12, 1e12, 1e12, 1e12};
}  // namespace

bool PlacementSearch::team_can_fit(const Demand& demand, WallTime at) const {
  const JobSpec& job = *demand.job;
  const ResourceTimeline* team = profile_.team_timeline(job.team);
  const double tasks = job.gang() ? demand.tasks : 1;
  return team == nullptr || team->can_fit(job.need * tasks, at, at + demand.run);
}

bool PlacementSearch::may_fit_beside_running(const Demand& demand, WallTime at) const {
  const JobSpec& job = *demand.job;
  const std::uint32_t wanted = job.gang() ? demand.tasks : 1;
  // Per zone if the tasks must be together, else one entry for all zones.
  std::vector<ZoneTaskCount> zone_counts;
  bool enough = false;
  profile_.for_each_allowed_machine(demand, demand.zone, [&](std::size_t machine) {
    const PlanMachine& properties = profile_.machines()[machine];
    const ResourceTimeline& timeline = profile_.timeline(machine);
    if (enough || properties.ready > at || timeline.no_room_beside_running(job.need, at)) return;
    const ZoneId zone = job.single_zone ? properties.zone : ZoneId{};
    auto count = std::find_if(zone_counts.begin(), zone_counts.end(),
                              [&](const ZoneTaskCount& entry) { return entry.zone == zone; });
    if (count == zone_counts.end()) count = zone_counts.insert(zone_counts.end(), {zone, 0});
    Resources sum = job.need;
    while (count->tasks < wanted && !timeline.no_room_beside_running(sum, at) &&
           fits(sum, timeline.capacity())) {
      ++count->tasks;
      sum += job.need;
    }
    enough = count->tasks >= wanted;
  });
  return enough;
}

struct PlacementSearch::Candidate {
  std::size_t machine;
  Resources free;
  double score;
  Duration run{};
};

std::vector<PlacementSearch::Candidate> PlacementSearch::find_candidates(
    const Demand& demand, WallTime at, const std::optional<ZoneId>& zone, Room room,
    Duration min_run) const {
  const JobSpec& job = *demand.job;
  std::vector<Candidate> out;
  profile_.for_each_allowed_machine(demand, zone, [&](std::size_t machine) {
    const ResourceTimeline& timeline = profile_.timeline(machine);
    const PlanMachine& properties = profile_.machines()[machine];
    if (properties.ready > at || timeline.no_room_beside_running(job.need, at)) return;
    const Duration fetch = Profile::fetch_time(job, properties);
    const Duration run = std::max(min_run, planned_run(demand, fetch));
    const Resources free = room == Room::unreserved ? timeline.free(at, at + run)
                                                    : timeline.capacity() - timeline.running();
    if (!fits(job.need, free)) return;
    out.push_back({machine, free, placement_score(profile_, demand, machine, fetch, free), run});
  });
  return out;
}

Plan PlacementSearch::assign(const Demand& demand, WallTime at, std::vector<Candidate> candidates,
                             const Resources& team_free) const {
  const JobSpec& job = *demand.job;
  // Each candidate takes at least one task, so more candidates than tasks are needed only when
  // `spread_zones` excludes some.
  const std::size_t needed =
      job.spread_zones ? candidates.size() : std::min<std::size_t>(candidates.size(), demand.tasks);
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(needed),
                    candidates.end(),
                    [](const Candidate& a, const Candidate& b) { return a.score < b.score; });
  std::map<ZoneId, std::uint32_t> tasks_in_zone;
  for (const ZoneTaskCount& placed : demand.placed_tasks)
    tasks_in_zone.emplace(placed.zone, placed.tasks);
  const auto zone_of = [this](const Candidate& candidate) -> const ZoneId& {
    return profile_.machines()[candidate.machine].zone;
  };
  Plan plan;
  Resources team_used{};
  std::size_t next = 0;
  while (plan.placements.size() < demand.tasks && fits(team_used + job.need, team_free)) {
    // A candidate that can't take this task can't take a later task either, as all tasks have the
    // same need.
    while (next < needed && (!fits(job.need, candidates[next].free) ||
                             tasks_in_zone[zone_of(candidates[next])] >= max_tasks_in_zone(job))) {
      ++next;
    }
    if (next == needed) break;
    Candidate& chosen = candidates[next];
    chosen.free -= job.need;
    team_used += job.need;
    ++tasks_in_zone[zone_of(chosen)];
    plan.placements.push_back({chosen.machine, at, at + chosen.run});
  }
  return plan;
}

Plan PlacementSearch::plan_at(const Demand& demand, WallTime at, const std::optional<ZoneId>& zone,
                              Duration min_run) const {
  std::vector<Candidate> candidates = find_candidates(demand, at, zone, Room::unreserved, min_run);
  Duration longest = demand.run;
  for (const Candidate& candidate : candidates) longest = std::max(longest, candidate.run);
  const ResourceTimeline* team = profile_.team_timeline(demand.job->team);
  const Resources team_free = team == nullptr ? kNoLimit : team->free(at, at + longest);
  return assign(demand, at, std::move(candidates), team_free);
}

std::optional<Plan> PlacementSearch::fit_in_zone(const Demand& demand, WallTime at,
                                                 const std::optional<ZoneId>& zone,
                                                 Completeness completeness) const {
  if (!team_can_fit(demand, at)) return std::nullopt;
  const bool needs_all = completeness == Completeness::all_tasks;
  Duration min_run{0};
  while (true) {
    Plan plan = plan_at(demand, at, zone, min_run);
    if (plan.placements.size() < demand.tasks && needs_all) return std::nullopt;
    if (!demand.job->gang()) return plan;
    // A gang begins to run when its last task has its image, and all its tasks end together.
    const WallTime end = plan.end();
    for (Placement& placement : plan.placements) placement.end = end;
    if (!needs_all || profile_.still_fits(plan, *demand.job)) return plan;
    // Some machines that have the image lack room for the longer run that the slowest image fetch
    // causes. Plan again with that run as the minimum.
    if (min_run >= end - at) return std::nullopt;
    min_run = end - at;
  }
}

Plan PlacementSearch::fit_beside_running(const Demand& demand, WallTime at) const {
  const ResourceTimeline* team = profile_.team_timeline(demand.job->team);
  const Resources team_free = team == nullptr ? kNoLimit : team->capacity() - team->running();
  auto candidates = find_candidates(demand, at, demand.zone, Room::beside_running, Duration{0});
  return assign(demand, at, std::move(candidates), team_free);
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

std::optional<Plan> PlacementSearch::fit_at(const Demand& demand, WallTime at) const {
  if (!demand.job->single_zone || demand.zone) {
    return fit_in_zone(demand, at, demand.zone, Completeness::all_tasks);
  }
  // All tasks need one zone. The zone with the lowest sum of run time and plan cost is chosen.
  std::optional<Plan> best;
  double best_cost = 0;
  for (const ZoneId& zone : zones()) {
    auto plan = fit_in_zone(demand, at, zone, Completeness::all_tasks);
    if (!plan) continue;
    const double cost = to_seconds(plan->end() - at) + plan_cost(profile_, demand, *plan, zone);
    if (!best || cost < best_cost) {
      best = std::move(plan);
      best_cost = cost;
    }
  }
  return best;
}

Plan PlacementSearch::fit_partially(const Demand& demand, WallTime at) const {
  if (!demand.job->single_zone || demand.zone) {
    return fit_in_zone(demand, at, demand.zone, Completeness::as_many_as_fit).value_or(Plan{});
  }
  // The zone of the first tasks binds the later tasks of an array that must stay together. The zone
  // that takes most tasks now is chosen.
  Plan best;
  for (const ZoneId& zone : zones()) {
    auto plan = fit_in_zone(demand, at, zone, Completeness::as_many_as_fit);
    if (plan && plan->placements.size() > best.placements.size()) best = std::move(*plan);
  }
  return best;
}

std::optional<Plan> PlacementSearch::earliest_in_zone(const Demand& demand, WallTime from,
                                                      const std::optional<ZoneId>& zone) const {
  return demand.job->gang() ? GangSearch(profile_, demand, zone).earliest(from)
                            : ArraySearch(profile_, demand, zone).earliest(from);
}

std::optional<Plan> PlacementSearch::earliest(const Demand& demand, WallTime from) const {
  if (!demand.job->single_zone || demand.zone) return earliest_in_zone(demand, from, demand.zone);
  std::optional<Plan> best;
  double best_cost = 0;
  for (const ZoneId& zone : zones()) {
    auto plan = earliest_in_zone(demand, from, zone);
    if (!plan) continue;
    // The start is the guarantee that the job gets, so the cost decides only between plans with
    // equal starts.
    const double cost = plan->start() == from ? plan_cost(profile_, demand, *plan, zone) +
                                                    to_seconds(plan->end() - from)
                                              : 0;
    if (!best || plan->start() < best->start() ||
        (plan->start() == best->start() && cost < best_cost)) {
      best = std::move(plan);
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace marblevale
