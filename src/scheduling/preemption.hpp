/// Preemption: which running tasks to stop so that a job of higher rank can start. It chooses those
/// that lose least. Pure.
#pragma once

#include <optional>
#include <set>
#include <unordered_set>
#include <vector>

#include "config/settings.hpp"
#include "records/record_set.hpp"
#include "scheduling/profile.hpp"
#include "scheduling/queue_item.hpp"

namespace marblevale {

/// Tasks to stop, and the machines on which that makes room, one for each of the job's tasks.
struct Preemption {
  std::vector<TaskId> victims;
  std::vector<MachineId> machine_ids;
};

/// Nothing when no room can be made, or when it is being made already. `guaranteed`: the jobs
/// within their team's guarantee. `excluded`: machines on which room is being made for other jobs.
std::optional<Preemption> select_victims(const QueueItem& item,
                                         const std::unordered_set<JobId>& guaranteed,
                                         const Records& records, const Settings& settings,
                                         const Profile& profile, WallTime now,
                                         const std::set<MachineId>& excluded = {});

}  // namespace marblevale
