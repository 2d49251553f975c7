/// The planner's view of a waiting job, and the priority order of the compression queue. Pure.
#pragma once

#include <optional>
#include <vector>

#include "scheduling/profile.hpp"

namespace marblevale {

/// A job's entry in the compression queue.
struct QueueItem {
  JobId job_id;
  Owner owner;  // owner of the job's reservation in the profile
  Demand demand;
  /// The tasks to place, demand.tasks of them. Empty for a gang, which places all its tasks.
  std::vector<std::uint32_t> task_indices;
  bool guaranteed = false;  // within its team's guarantee
  WallTime accepted;
  WallTime not_before;             // earliest retry after a fault
  std::optional<WallTime> target;  // latest start that meets its next reachable objective
  bool objectives_missed = false;  // all latest starts of its objectives have passed
  bool overdue = false;            // it has never begun and has waited for too long
  bool team_has_guarantee = true;  // whether or not the job fits into it
  bool failing = false;            // it failed repeatedly, and no task has worked
};

/// The strict weak order of the queue. Jobs are compared by urgency (an overdue job counts as at
/// least standard), then jobs within their team's guarantee, then overdue jobs (among them by
/// acceptance), then jobs of teams that have a guarantee, then jobs that have not missed all their
/// objectives, then by the nearest start that still meets an objective, then Shortest Job First,
/// then by acceptance.
bool has_higher_priority(const QueueItem& a, const QueueItem& b);

}  // namespace marblevale
