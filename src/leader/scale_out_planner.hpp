/// Decides which waiting work is worth scaling out for, from the plan of a round.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "autoscaler/autoscaler.hpp"
#include "config/settings.hpp"
#include "core/metrics.hpp"
#include "scheduling/planner.hpp"

namespace marblevale {

/// Tells the autoscaler which demands a round left unmet, and which machines the plan has a use
/// for. Runs at intervals of its own, since to lay out the queue again is expensive.
class ScaleOutPlanner {
 public:
  ScaleOutPlanner(Metrics& metrics, const Clock& clock, const Settings& settings,
                  Autoscaler& autoscaler);

  /// True when the last run was long enough ago, measured by what it took.
  [[nodiscard]] bool due() const;
  /// Passes unmet demands, the machines in use and what the teams may still use to the autoscaler.
  void plan(const Planner& planner, const Reservations& reservations);

 private:
  /// The waiting jobs, each with the plan that it would get; none: no machine can take it.
  [[nodiscard]] static std::vector<ForecastEntry> forecast(const Planner& planner,
                                                           const Reservations& reservations);
  /// Machines on which a reserved task starts so soon that they must not be returned.
  [[nodiscard]] std::set<MachineId> machines_in_use(const Reservations& reservations,
                                                    WallTime now) const;
  [[nodiscard]] bool worth_scaling_out_for(const QueueItem& item) const;
  /// The job's tasks that would start too late, if there are any and the team's quota lets them
  /// start. `machines_booting`: provisioned machines are still to come up.
  [[nodiscard]] static std::optional<UnmetDemand> unmet_demand(const QueueItem& item,
                                                               const std::optional<Plan>& plan,
                                                               const Profile& profile,
                                                               bool machines_booting, WallTime now);
  /// What each team's quota leaves beside its running tasks.
  [[nodiscard]] std::map<TeamId, Resources> team_resources(const Profile& profile) const;

  Metrics& metrics_;
  const Clock& clock_;
  const Settings& settings_;
  Autoscaler& autoscaler_;
  SteadyTime last_run_ = kLongAgo;
  Duration last_run_duration_{};
};

}  // namespace marblevale
