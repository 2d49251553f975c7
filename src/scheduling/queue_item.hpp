/// A waiting job as the planner sees it, and the priority order of the compression queue. Pure.
#pragma once

#include <optional>
#include <vector>

#include "scheduling/profile.hpp"

namespace marblevale {

/// A job's entry in the compression queue.
struct QueueItem {
  JobId job_id;
  Owner owner;  // of its reservation in the profile
  Demand demand;
  std::vector<std::uint32_t> task_indices;  // the tasks to be placed, as many as demand.tasks
  bool guaranteed = false;                  // within its team's guarantee
  WallTime accepted;
  WallTime not_before;             // after a fault: when it may be retried
  std::optional<WallTime> target;  // the next start time that meets an objective of its class
  bool objectives_missed = false;  // it has objectives, and all their start times have passed
  bool overdue = false;            // it has never begun, and has waited for too long
  bool team_has_guarantee = true;  // its team has a guarantee, whether it fits into it or not
  bool failing = false;            // it failed again and again, and has worked nowhere
};

/// The strict weak order of the queue: urgency (what is overdue counts as standard at the least),
/// then work within its team's guarantee, then what is overdue, by acceptance, then work of teams
/// that have a guarantee, then the nearest start that still meets an objective, then Shortest Job
/// First, then acceptance.
bool has_higher_priority(const QueueItem& a, const QueueItem& b);

}  // namespace marblevale
