/// Attribution of task failures to the machine that they occurred on, or to their jobs.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "records/record_set.hpp"

namespace marblevale {

/// For each suspect machine the jobs that failed there, by their tasks' records.
std::map<MachineId, std::set<JobId>> failed_jobs_by_suspect(const Records& records);

/// The state that a suspect machine changes to: `quarantined` when the failures are its own, `up`
/// when they are the jobs', nothing while that is undecided. A job that failed on another machine
/// as well is the cause of its own failures: two such jobs are no evidence against the machine.
std::optional<MachineState> resolve_suspect_state(const MachineRecord& machine,
                                                  const std::set<JobId>& failed_jobs,
                                                  const Records& records, WallTime now);

}  // namespace marblevale
