// Jobs that wait beside a machine that fits: read from the records alone, not from the profile, so
// that a profile that has gone wrong is found out. Pure.
#pragma once

#include <vector>

#include "config/settings.hpp"
#include "records/record_set.hpp"

namespace marblevale {

struct StarvedJob {
  JobId job_id;
  Duration waited{};
  MachineId machine_id;  // a machine that fits and has room
  MachineState state = MachineState::up;
};

/// Of the `most` oldest jobs that have waited for `patience`, those whose next task (of a gang: all
/// tasks) fits on machines that are up, while the team is under its limit. Where none fits,
/// machines that have been out of use for longer than `out_of_use` are looked at as well.
std::vector<StarvedJob> find_starved(const Records& records, const Settings& settings, WallTime now,
                                     Duration patience, Duration out_of_use, std::size_t most);

}  // namespace marblevale
