/// Scores that rank the machines, zones and plans that a job could use. Pure.
#pragma once

#include "scheduling/profile.hpp"

namespace marblevale {

/// Returns the planned run time of a task including its image fetch, rounded up to whole planning
/// steps. Timelines with fewer steps are faster to query, and run time estimates are less precise
/// than a step.
[[nodiscard]] Duration planned_run(const Demand& demand, Duration fetch);

/// Returns a score, lower is better. Prefers, by decreasing weight, an earlier start, a lower price
/// for the task's share of the machine, and a fuller machine. Ties are broken by a hash of job and
/// machine, so that no zone is favoured. `free` is the machine's free capacity before the task is
/// placed.
[[nodiscard]] double placement_score(const Profile& profile, const Demand& demand,
                                     std::size_t machine, Duration fetch, const Resources& free);

/// Returns the cost by which plans in different zones are compared, lower is better: the price,
/// then a hash of job and zone.
[[nodiscard]] double plan_cost(const Profile& profile, const Demand& demand, const Plan& plan,
                               const ZoneId& zone);

}  // namespace marblevale
