// Which running tasks to stop so that a job of higher rank can start: those that lose least. Pure.
#pragma once

#include <optional>
#include <set>
#include <unordered_set>
#include <vector>

#include "config/settings.hpp"
#include "records/record_set.hpp"
#include "scheduling/planner.hpp"

namespace marblevale {

struct Preemption {
  std::vector<TaskId> victims;
  std::vector<MachineId> machine_ids;  // where that makes room
};

/// Nothing when no room can be made, or when it is being made already. `others`: machines on which
/// room is being made for other jobs.
std::optional<Preemption> select_victims(const QueueItem& item,
                                         const std::unordered_set<JobId>& guaranteed,
                                         const Records& records, const Settings& settings,
                                         const Profile& profile, WallTime now,
                                         const std::set<MachineId>& others = {});

}  // namespace marblevale
