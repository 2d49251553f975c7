/// Limits of the published protocols that more than one component keeps to.
#pragma once

#include <cstddef>

namespace marblevale {

/// The largest body of a request, in bytes.
inline constexpr std::size_t kMaxRequestBytes = std::size_t{64} * 1024;

/// Bytes of a task in a heartbeat, at most: its id, attempt, status and cause.
inline constexpr std::size_t kMaxReportedTaskBytes = 128;

/// The most tasks that a machine is given. Its heartbeats name all of them and beside them as many
/// that have ended and are not cleared yet. A machine whose heartbeat exceeds a request can't
/// report at all, so that it loses its lease and ends all its tasks.
inline constexpr std::size_t kMaxTasksPerMachine = kMaxRequestBytes / kMaxReportedTaskBytes / 2;

}  // namespace marblevale
