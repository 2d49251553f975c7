/// Starvation: finds jobs that wait although a machine fits them. Uses only the records, not the
/// profile, so that it detects a wrong profile. Pure.
#pragma once

#include <vector>

#include "config/settings.hpp"
#include "records/record_set.hpp"

namespace marblevale {

/// A job that waits although it could use a machine.
struct StarvedJob {
  JobId job_id;
  Duration waited{};
  MachineId machine_id;  // a machine that fits and has room
  MachineState state = MachineState::up;
};

/// Checks the `max_jobs` jobs that have waited longest, for at least `min_wait`. Returns the jobs
/// whose next task (all tasks of a gang) fits on machines that are up and within the team's limit.
/// If no machine that is up fits, machines that have been out of service for `min_out_of_service`
/// count as well.
std::vector<StarvedJob> find_starved(const Records& records, const Settings& settings, WallTime now,
                                     Duration min_wait, Duration min_out_of_service,
                                     std::size_t max_jobs);

}  // namespace marblevale
