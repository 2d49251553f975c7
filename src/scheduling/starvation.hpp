/// Starvation: jobs that wait though a machine fits. It is read from the records alone, not from
/// the profile, so that a wrong profile is found out. Pure.
#pragma once

#include <vector>

#include "config/settings.hpp"
#include "records/record_set.hpp"

namespace marblevale {

/// A job that waits without need, and a machine that it could use.
struct StarvedJob {
  JobId job_id;
  Duration waited{};
  MachineId machine_id;  // a machine that fits and has room
  MachineState state = MachineState::up;
};

/// Of the `max_jobs` jobs that have waited longest, and for `min_wait` at the least, those whose
/// next task (of a gang: all tasks) fits on machines that are up, while the team is under its
/// limit. Where none fits, machines that have been out of service for `min_out_of_service` count as
/// well.
std::vector<StarvedJob> find_starved(const Records& records, const Settings& settings, WallTime now,
                                     Duration min_wait, Duration min_out_of_service,
                                     std::size_t max_jobs);

}  // namespace marblevale
