/// The leader's regular log line about the cluster as a round has planned it.
#pragma once

#include <cstddef>

#include "scheduling/planner.hpp"

namespace marblevale {

/// Logs the machines, idle GPUs, waiting work and the number of open releases.
void log_round_summary(const Planner& planner, std::size_t open_releases, WallTime now);

}  // namespace marblevale
