/// How good a place is for a task: the order in which placement prefers machines, zones and plans
/// that could all be used. Pure.
#pragma once

#include "scheduling/profile.hpp"

namespace marblevale {

/// Run time of a task that first waits for its image. Ends are planned to whole steps: timelines
/// with fewer steps are quicker to ask, and estimates are rougher than a step.
[[nodiscard]] Duration planned_run(const Demand& demand, Duration fetch);

/// The lower, the better: sooner started, then cheaper for its share of the machine, then the
/// fuller machine. The rest is decided by job and machine together, so that no zone is favoured.
/// `free` is what the machine has left before the task is placed.
[[nodiscard]] double placement_score(const Profile& profile, const Demand& demand,
                                     std::size_t machine, Duration fetch, const Resources& free);

/// Decides between plans in different zones: the price, then job and zone together.
[[nodiscard]] double plan_cost(const Profile& profile, const Demand& demand, const Plan& plan,
                               const ZoneId& zone);

}  // namespace marblevale
