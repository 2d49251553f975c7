/// Attributes task failures to the machine that they occurred on or to their jobs, so that a faulty
/// job does not put healthy machines into quarantine.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "records/record_set.hpp"

namespace marblevale {

/// For each suspect machine, the jobs that failed on it: the job in the machine's record, and the
/// jobs with a task whose last failure was on that machine.
std::map<MachineId, std::set<JobId>> failed_jobs_by_suspect(const Records& records);

/// The state that a suspect machine changes to: `quarantined` if the machine caused the failures,
/// `up` if the jobs caused them, empty while the cause is undecided. A job that also failed on
/// another machine caused its own failures, so even two such jobs are no evidence against the
/// machine.
std::optional<MachineState> resolve_suspect_state(const MachineRecord& machine,
                                                  const std::set<JobId>& failed_jobs,
                                                  const Records& records, WallTime now);

}  // namespace marblevale
