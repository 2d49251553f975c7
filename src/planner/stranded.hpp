// Jobs that wait beside a machine that fits: read from the records alone, not from the profile, so
// that a profile that has gone wrong is found out. Pure.
#pragma once

#include <vector>

#include "app/settings.hpp"
#include "store/mirror.hpp"

namespace marblevale {

struct Stranded {
  Uid uid;
  Span waited;
  HostId host;  // a machine that fits and has room
  MachineState state = MachineState::up;
};

/// Of the `most` oldest jobs that have waited for `patience`, those whose next task (of a gang: all
/// tasks) fits on machines that are up, while the team is under its limit. Where none fits,
/// machines that have been out of use for longer than `out_of_use` are looked at as well.
std::vector<Stranded> find_stranded(const Records& records, const Settings& settings, Wall now,
                                    Span patience, Span out_of_use, std::size_t most);

}  // namespace marblevale
