/// Determines from a round's plan which waiting jobs justify scaling out.
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

/// Reports a round's unmet demand to the autoscaler, and the machines that the plan needs. Runs at
/// intervals of its own, because a forecast of the whole queue is expensive.
class ScaleOutPlanner {
 public:
  ScaleOutPlanner(Metrics& metrics, const Clock& clock, const Settings& settings,
                  Autoscaler& autoscaler);

  /// True when the last run was long enough ago. The interval grows with the duration of the last
  /// run.
  [[nodiscard]] bool due() const;
  /// Passes the unmet demands, the machines in use and the resources that the teams may still use
  /// to the autoscaler.
  void plan(const Planner& planner, const Reservations& reservations);

 private:
  /// The waiting jobs, each with the plan that it would get. An entry without a plan is a job that
  /// no machine can take.
  [[nodiscard]] static std::vector<ForecastEntry> forecast(const Planner& planner,
                                                           const Reservations& reservations);
  /// Machines on which a reserved task starts too soon for the machine to be returned to the cloud.
  [[nodiscard]] std::set<MachineId> machines_in_use(const Reservations& reservations,
                                                    WallTime now) const;
  [[nodiscard]] bool worth_scaling_out_for(const QueueItem& item) const;
  /// The number of the job's tasks that would start too late, and the expected wait. Nothing when
  /// no task would, or when the team's quota does not let them start. `machines_booting`:
  /// provisioned machines are still booting.
  [[nodiscard]] static std::optional<UnmetDemand> unmet_demand(const QueueItem& item,
                                                               const std::optional<Plan>& plan,
                                                               const Profile& profile,
                                                               bool machines_booting, WallTime now);
  /// The part of each team's quota that its running tasks leave unused.
  [[nodiscard]] std::map<TeamId, Resources> team_resources(const Profile& profile) const;

  Metrics& metrics_;
  const Clock& clock_;
  const Settings& settings_;
  Autoscaler& autoscaler_;
  SteadyTime last_run_ = kLongAgo;
  Duration last_run_duration_{};
};

}  // namespace marblevale
