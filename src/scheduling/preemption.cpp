#include "scheduling/preemption.hpp"

#include <algorithm>
#include <map>

namespace marblevale {

namespace {
constexpr double kImpatientLoss = 60;  // of a victim without a deadline: its start was the point
constexpr Duration kFreshStart{30'000};
constexpr double kFreshLoss = 15;  // of a victim that has hardly begun
// What a victim of a team without a guarantee counts for: a part of its loss. Adding to the loss of
// the others instead made one gang cheaper to stop than the four small tasks beside it.
constexpr double kGuestShare = 0.5;

/// As many of the job's tasks as `spread` allows are in the zone already.
bool zone_is_full(const Demand& demand, const ZoneId& zone) {
  return std::any_of(demand.placed_tasks.begin(), demand.placed_tasks.end(),
                     [&](const ZoneTaskCount& placed) {
                       return placed.zone == zone && placed.tasks >= max_tasks_in_zone(*demand.job);
                     });
}
}  // namespace

// Not split yet, issue 17.
// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size)
std::optional<Preemption> select_victims(const QueueItem& item,
                                         const std::unordered_set<JobId>& guaranteed,
                                         const Records& records, const Settings& settings,
                                         const Profile& profile, WallTime now,
                                         const std::set<MachineId>& others) {
  const JobSpec& spec = *item.demand.job;
  const Team* team = settings.team(spec.team);
  struct VictimTask {
    TaskId id;
    Resources resources;
    double loss;
  };
  struct Place {
    MachineId machine_id;
    ZoneId zone;
    Resources free;
    double fetch = 0;  // seconds until the job's image is there
    std::vector<VictimTask> victims;
  };
  Resources team_used{};
  std::vector<Place> places;
  for (const auto& [machine_id, stored] : records.machines) {
    const MachineRecord& m = stored.record;
    const MachineType* type = records.type(m.machine_type);
    if (type == nullptr) continue;
    Place place{machine_id, m.zone, type->resources, 0, {}};
    const auto timeline = profile.find(machine_id);
    if (timeline) {
      place.fetch = to_seconds(profile.fetch_time(spec, profile.machines()[*timeline]));
    }
    if (const auto placed = records.placed.find(machine_id); placed != records.placed.end()) {
      for (const auto& [id, attempt] : placed->second) {
        const JobRecord* other = records.job(id.job_id);
        const TaskRecord* task = records.task(id);
        if (other == nullptr || task == nullptr) continue;
        place.free -= other->spec.need;
        if (other->spec.team == spec.team) team_used += other->spec.need;
        // Room that is being vacated already counts as free: no second victim for it.
        if (task->stop) {
          place.free += other->spec.need;
          continue;
        }
        const bool lower = other->spec.urgency < spec.urgency;
        const bool beyond =
            item.guaranteed && other->spec.team != spec.team && !guaranteed.contains(id.job_id);
        if ((!lower && !beyond) || (other->spec.gang() && other->spec.task_count > 1)) continue;
        const Duration ran = task->running == WallTime{} ? Duration{0} : now - task->running;
        // What a restart costs: the unsaved work, another image fetch perhaps, and its own wait.
        double lost = other->spec.checkpoint_interval > Duration{0}
                          ? to_seconds(other->spec.save_time)
                          : to_seconds(ran);
        lost += (type->pull_gb_per_s > 0 ? other->spec.image_gb / type->pull_gb_per_s : 0) * 0.5;
        if (!other->spec.deadline) lost += kImpatientLoss;
        if (ran < kFreshStart) lost += kFreshLoss;
        const Team* other_team = settings.team(other->spec.team);
        if (other_team != nullptr && !other_team->has_guarantee()) lost *= kGuestShare;
        place.victims.push_back({id, other->spec.need, lost});
      }
    }
    PlanMachine rules;
    rules.machine_type = m.machine_type;
    rules.zone = m.zone;
    rules.spot = m.spot;
    rules.resources = type->resources;
    const bool usable = timeline && !others.contains(machine_id) && m.state == MachineState::up &&
                        !m.reclaim_at && Profile::allowed(spec, rules) &&
                        (!item.demand.zone || *item.demand.zone == m.zone);
    if (!usable || zone_is_full(item.demand, m.zone)) continue;
    // Those that lose least first.
    std::sort(place.victims.begin(), place.victims.end(),
              [](const VictimTask& a, const VictimTask& b) { return a.loss < b.loss; });
    places.push_back(std::move(place));
  }
  const Resources all = spec.need * static_cast<double>(item.demand.tasks);
  const std::uint32_t tasks = spec.gang() ? item.demand.tasks : 1;
  if (team != nullptr && !fits(team_used + (spec.gang() ? all : spec.need), team->limit())) {
    return std::nullopt;
  }

  // For each zone (or for all at once), the places that cost least until every task has one.
  std::vector<std::optional<ZoneId>> zones;
  if (spec.together) {
    for (const ZoneId& zone : settings.zones) zones.emplace_back(zone);
  } else {
    zones.emplace_back(std::nullopt);
  }
  std::vector<TaskId> best;
  std::vector<MachineId> best_machine_ids;
  double best_loss = 0;
  for (const auto& zone : zones) {
    std::vector<TaskId> chosen;
    std::vector<MachineId> machine_ids;
    double loss = 0;
    std::uint32_t found = 0;
    std::vector<Place> open;
    for (const Place& place : places) {
      if (!zone || place.zone == *zone) open.push_back(place);
    }
    while (found < tasks) {
      std::size_t cheapest = open.size();
      double least_cost = 0;
      std::vector<std::size_t> least_victims;
      for (std::size_t p = 0; p < open.size(); ++p) {
        Resources free = open[p].free;
        double cost = open[p].fetch * 2;  // room that can be used later is worth less
        std::vector<std::size_t> victims;
        for (std::size_t v = 0; v < open[p].victims.size() && !fits(spec.need, free); ++v) {
          free += open[p].victims[v].resources;
          cost += open[p].victims[v].loss + 5;
          victims.push_back(v);
        }
        if (!fits(spec.need, free)) continue;
        if (cheapest == open.size() || cost < least_cost) {
          cheapest = p;
          least_cost = cost;
          least_victims = victims;
        }
      }
      if (cheapest == open.size()) break;
      Place& place = open[cheapest];
      std::sort(least_victims.rbegin(), least_victims.rend());
      for (const std::size_t v : least_victims) {
        chosen.push_back(place.victims[v].id);
        place.free += place.victims[v].resources;
        place.victims.erase(place.victims.begin() + static_cast<std::ptrdiff_t>(v));
      }
      place.free -= spec.need;
      machine_ids.push_back(place.machine_id);
      loss += least_cost;
      ++found;
    }
    if (found < tasks || chosen.empty()) {
      if (found == tasks) return std::nullopt;  // room is being vacated already
      continue;
    }
    if (best.empty() || loss < best_loss) {
      best = std::move(chosen);
      best_machine_ids = std::move(machine_ids);
      best_loss = loss;
    }
  }
  if (best.empty()) return std::nullopt;
  return Preemption{std::move(best), std::move(best_machine_ids)};
}

}  // namespace marblevale
