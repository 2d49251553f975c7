#include "leader/scale_out_planner.hpp"

#include <algorithm>

namespace marblevale {

namespace {
constexpr Duration kMinInterval{1000};
/// The interval is at least this many times the duration of the last run.
constexpr double kIntervalToRunTime = 30.0;
/// Number of jobs at the front of the queue that the forecast places anew.
constexpr std::size_t kMaxJobsPlaced = 30;
/// A task that starts within this time needs no new machine.
constexpr Duration kMaxStartDelay{20'000};
/// A machine with less than this time until it is ready does not count as booting, because it is
/// either overdue or about to come up.
constexpr Duration kOverdueBoot{5'500};
/// Assumed wait of a job that no machine can take.
constexpr Duration kUnplacedWait{600'000};
}  // namespace

ScaleOutPlanner::ScaleOutPlanner(Metrics& metrics, const Clock& clock, const Settings& settings,
                                 Autoscaler& autoscaler)
    : metrics_(metrics), clock_(clock), settings_(settings), autoscaler_(autoscaler) {}

bool ScaleOutPlanner::due() const {
  return clock_.steady() - last_run_ >=
         std::max(kMinInterval, scaled(last_run_duration_, kIntervalToRunTime));
}

void ScaleOutPlanner::plan(const Planner& planner, const Reservations& reservations) {
  const auto timed = metrics_.time(Duty::provisioning_requests);
  last_run_ = clock_.steady();
  const WallTime now = clock_.wall();
  const Profile& profile = planner.profile();
  const auto& machines = profile.machines();
  const bool machines_booting =
      std::any_of(machines.begin(), machines.end(), [&](const PlanMachine& m) {
        return m.machine_id != MachineId{} && m.ready > now + kOverdueBoot;
      });
  std::vector<UnmetDemand> demands;
  for (const auto& [item, plan] : forecast(planner, reservations)) {
    if (!worth_scaling_out_for(*item)) continue;
    if (const auto demand = unmet_demand(*item, plan, profile, machines_booting, now)) {
      demands.push_back(*demand);
    }
  }
  autoscaler_.update_demand(std::move(demands), team_resources(profile),
                            machines_in_use(reservations, now));
  last_run_duration_ = clock_.steady() - last_run_;
}

std::vector<ForecastEntry> ScaleOutPlanner::forecast(const Planner& planner,
                                                     const Reservations& reservations) {
  // Reservations do not use capacity that became free after they were made, because holes are kept
  // on purpose. So the demand is derived from the plan that the queue would get if it were planned
  // anew.
  std::vector<ForecastEntry> out = planner.forecast(kMaxJobsPlaced);
  // Jobs further back are judged by their reservations, because planning a long queue anew is
  // expensive.
  for (std::size_t i = out.size(); i < planner.queue().size(); ++i) {
    const QueueItem& item = planner.queue()[i];
    if (item.demand.tasks == 0) continue;
    const auto reserved = reservations.find(item.job_id);
    std::optional<Plan> plan;
    if (reserved != reservations.end() && !reserved->second.places.empty()) {
      plan.emplace();
      for (const auto& place : reserved->second.places) {
        plan->placements.push_back({0, place.start, place.end});
      }
    }
    out.push_back({&item, std::move(plan)});
  }
  return out;
}

std::set<MachineId> ScaleOutPlanner::machines_in_use(const Reservations& reservations,
                                                     WallTime now) const {
  std::set<MachineId> in_use;
  for (const auto& [job_id, reservation] : reservations) {
    for (const auto& place : reservation.places) {
      if (place.start - now < settings_.tuning.idle_return) in_use.insert(place.machine_id);
    }
  }
  return in_use;
}

bool ScaleOutPlanner::worth_scaling_out_for(const QueueItem& item) const {
  // Jobs without an objective, of a team without a guarantee, use only idle machines unless they
  // are overdue.
  const auto is_of_class = [&](const Objective& objective) {
    return objective.job_class == item.demand.job->job_class && !objective.job_class.empty();
  };
  return item.team_has_guarantee || item.overdue ||
         std::any_of(settings_.objectives.begin(), settings_.objectives.end(), is_of_class);
}

std::optional<UnmetDemand> ScaleOutPlanner::unmet_demand(const QueueItem& item,
                                                         const std::optional<Plan>& plan,
                                                         const Profile& profile,
                                                         bool machines_booting, WallTime now) {
  const JobSpec& job = *item.demand.job;
  const ResourceTimeline* quota = profile.team_timeline(job.team);
  const double tasks_at_once = job.gang() ? item.demand.tasks : 1;
  if (quota != nullptr && !fits(job.need * tasks_at_once, quota->capacity() - quota->running())) {
    return std::nullopt;
  }
  std::uint32_t late_tasks = item.demand.tasks;
  Duration wait = kUnplacedWait;
  if (plan) {
    late_tasks = 0;
    wait = plan->start() - now;
    for (const Placement& placement : plan->placements) {
      late_tasks += placement.start - now > kMaxStartDelay ? 1 : 0;
    }
    if (job.gang() && late_tasks > 0) late_tasks = item.demand.tasks;
  }
  // When run time estimates are too low, the plan always shows capacity that is about to become
  // free. A job that has waited for a while is therefore expected to wait as long again, unless
  // machines are already booting.
  const Duration waited = now - item.accepted;
  Demand single_task = item.demand;
  single_task.tasks = 1;
  if (!machines_booting && waited > std::max(wait, kMaxStartDelay) &&
      !profile.may_fit_beside_running(single_task, now)) {
    wait = waited;
    late_tasks = item.demand.tasks;
  }
  if (late_tasks == 0) return std::nullopt;
  return UnmetDemand{item.demand.job, late_tasks, item.demand.run, wait, item.demand.zone};
}

std::map<TeamId, Resources> ScaleOutPlanner::team_resources(const Profile& profile) const {
  std::map<TeamId, Resources> resources;
  for (const Team& team : settings_.teams) {
    // Only running tasks count, because the machines are requested for the reserved ones.
    const ResourceTimeline* timeline = profile.team_timeline(team.name);
    if (timeline != nullptr) resources[team.name] = team.limit() - timeline->running();
  }
  return resources;
}

}  // namespace marblevale
