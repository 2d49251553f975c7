#include "leader/scale_out_planner.hpp"

#include <algorithm>

namespace marblevale {

namespace {
constexpr Duration kInterval{1000};  // at the least
constexpr double kIdleShare = 30.0;  // and this many times what it took
constexpr std::size_t kMaxLaidOut = 30;
constexpr Duration kSoon{20'000};        // a start this near needs no new machine
constexpr Duration kOverdueBoot{5'500};  // a machine expected within this is late, or about to come
constexpr Duration kUnplacedWait{600'000};  // of a job that no machine can take
}  // namespace

ScaleOutPlanner::ScaleOutPlanner(Metrics& metrics, const Clock& clock, const Settings& settings,
                                 Autoscaler& autoscaler)
    : metrics_(metrics), clock_(clock), settings_(settings), autoscaler_(autoscaler) {}

bool ScaleOutPlanner::due() const {
  return clock_.steady() - last_ >= std::max(kInterval, scaled(took_, kIdleShare));
}

void ScaleOutPlanner::plan(const Planner& planner, const Reservations& reservations) {
  const auto timed = metrics_.time(Duty::provisioning_requests);
  last_ = clock_.steady();
  const WallTime now = clock_.wall();
  const Profile& profile = planner.profile();
  const auto& machines = profile.machines();
  const bool coming = std::any_of(machines.begin(), machines.end(), [&](const PlanMachine& m) {
    return m.machine_id != MachineId{} && m.ready > now + kOverdueBoot;
  });
  std::vector<UnmetDemand> demands;
  for (const auto& [item, plan] : outlook(planner, reservations)) {
    if (!worth_scaling_out_for(*item)) continue;
    if (const auto demand = unmet(*item, plan, profile, coming, now)) demands.push_back(*demand);
  }
  autoscaler_.update_demand(std::move(demands), team_resources(profile),
                            machines_in_use(reservations, now));
  took_ = clock_.steady() - last_;
}

ScaleOutPlanner::Outlook ScaleOutPlanner::outlook(const Planner& planner,
                                                  const Reservations& reservations) {
  // Reservations lag behind what has become possible since (holes are kept on purpose), so what is
  // missing is read from the plan that the queue would get if it were laid out anew.
  Outlook out = planner.outlook(kMaxLaidOut);
  // For jobs further back their reservations must do: to lay out a long queue costs too much.
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
    out.emplace_back(&item, std::move(plan));
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
  // Work that nobody set an objective for, of a team without a guarantee, runs on what is idle. One
  // that has waited for too long gets a machine all the same.
  const auto wanted = [&](const Objective& objective) {
    return objective.job_class == item.demand.job->job_class && !objective.job_class.empty();
  };
  return item.of_guaranteed_team || item.overdue ||
         std::any_of(settings_.objectives.begin(), settings_.objectives.end(), wanted);
}

std::optional<UnmetDemand> ScaleOutPlanner::unmet(const QueueItem& item,
                                                  const std::optional<Plan>& plan,
                                                  const Profile& profile, bool coming,
                                                  WallTime now) {
  const JobSpec& job = *item.demand.job;
  const ResourceTimeline* limit = profile.team(job.team);
  const double least = job.gang() ? item.demand.tasks : 1;
  if (limit != nullptr && !fits(job.need * least, limit->whole() - limit->running())) {
    return std::nullopt;
  }
  std::uint32_t late = item.demand.tasks;
  Duration wait = kUnplacedWait;
  if (plan) {
    late = 0;
    wait = plan->start() - now;
    for (const Placement& placement : plan->placements) {
      late += placement.start - now > kSoon ? 1 : 0;
    }
    if (job.gang() && late > 0) late = item.demand.tasks;
  }
  // Where estimates are too low, room is always about to come free. A job that has waited for a
  // while is believed to wait as long again, unless machines are on their way already.
  const Duration waited = now - item.accepted;
  Demand one = item.demand;
  one.tasks = 1;
  if (!coming && waited > std::max(wait, kSoon) && !profile.room_beside_running(one, now)) {
    wait = waited;
    late = item.demand.tasks;
  }
  if (late == 0) return std::nullopt;
  return UnmetDemand{item.demand.job, late, item.demand.run, wait, item.demand.zone};
}

std::map<TeamId, Resources> ScaleOutPlanner::team_resources(const Profile& profile) const {
  std::map<TeamId, Resources> resources;
  for (const Team& team : settings_.teams) {
    // Only what runs counts: reservations are what the machines are wanted for.
    const ResourceTimeline* timeline = profile.team(team.name);
    if (timeline != nullptr) resources[team.name] = team.limit() - timeline->running();
  }
  return resources;
}

}  // namespace marblevale
