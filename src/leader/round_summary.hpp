/// The leader's periodic log line about the state of the cluster after a round's planning.
#pragma once

#include <cstddef>

#include "scheduling/planner.hpp"

namespace marblevale {

/// Logs the number of machines, free GPUs, waiting jobs and tasks, and open releases.
void log_round_summary(const Planner& planner, std::size_t open_releases, WallTime now);

}  // namespace marblevale
