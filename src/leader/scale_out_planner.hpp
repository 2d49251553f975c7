// Which waiting work is worth renting machines for, as a round's plan shows it.
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

/// Tells the cluster which demands a round left unmet, and which machines the plan has a use for.
/// Owns the pace at which that is done, since laying out the queue anew is dear.
class ScaleOutPlanner {
 public:
  ScaleOutPlanner(Metrics& metrics, const Clock& clock, const Settings& settings,
                  Autoscaler& autoscaler);

  [[nodiscard]] bool due() const;
  void plan(const Planner& planner, const Reservations& reservations);

 private:
  /// A waiting job, and the plan that it would get; none: no machine can take it.
  using Outlook = std::vector<std::pair<const QueueItem*, std::optional<Plan>>>;

  [[nodiscard]] static Outlook outlook(const Planner& planner, const Reservations& reservations);
  [[nodiscard]] std::set<MachineId> machines_in_use(const Reservations& reservations,
                                                    WallTime now) const;
  [[nodiscard]] bool worth_scaling_out_for(const QueueItem& item) const;
  /// `coming`: machines that were rented are still to come up.
  [[nodiscard]] static std::optional<UnmetDemand> unmet(const QueueItem& item,
                                                        const std::optional<Plan>& plan,
                                                        const Profile& profile, bool coming,
                                                        WallTime now);
  [[nodiscard]] std::map<TeamId, Resources> team_resources(const Profile& profile) const;

  Metrics& metrics_;
  const Clock& clock_;
  const Settings& settings_;
  Autoscaler& autoscaler_;
  SteadyTime last_ = kLongAgo;
  Duration took_{};
};

}  // namespace marblevale
