// Whose fault it is that tasks failed on a machine: its own, or that of jobs with a mistake.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "records/record_set.hpp"

namespace marblevale {

/// For each suspect machine the jobs that failed there, by their tasks' records.
std::map<MachineId, std::set<JobId>> failed_jobs_of_suspects(const Records& records);

/// `quarantined` for a faulty machine, `up` for one that is not to blame, nothing while neither is
/// known. A job that failed elsewhere, too, is at fault itself: two such jobs condemn no machine.
std::optional<MachineState> verdict_on_suspect(const MachineRecord& machine,
                                               const std::set<JobId>& failed_jobs,
                                               const Records& records, WallTime now);

}  // namespace marblevale
