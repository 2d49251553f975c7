/// Preemption: chooses the running tasks to stop so that a job of higher rank can start, with the
/// least loss of work. Pure.
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

/// Tasks to stop, and the machines on which the job's tasks then have room (one entry for each of
/// its tasks).
struct Preemption {
  std::vector<TaskId> victims;
  std::vector<MachineId> machine_ids;
};

/// Returns nothing when no room can be made, when the team's limit leaves too little, or when
/// enough room is free or being vacated already. `guaranteed` holds the jobs within their team's
/// guarantee. `excluded` holds machines on which room is being made for other jobs.
std::optional<Preemption> select_victims(const QueueItem& item,
                                         const std::unordered_set<JobId>& guaranteed,
                                         const Records& records, const Settings& settings,
                                         const Profile& profile, WallTime now,
                                         const std::set<MachineId>& excluded = {});

}  // namespace marblevale
