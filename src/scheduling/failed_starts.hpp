/// Remembers failed attempts to start a job, so that later rounds skip an attempt that would fail
/// again. A retry can succeed only after capacity that the job could use was freed, and attempts
/// are the most expensive part of a round. Pure.
#pragma once

#include <optional>
#include <unordered_map>

#include "scheduling/queue_item.hpp"
#include "scheduling/reservation.hpp"

namespace marblevale {

/// An attempt to start a job that found no room, and the demand of that attempt.
struct FailedStart {
  Profile::Version version;  // of the profile in which the attempt failed
  WallTime at;
  std::uint32_t tasks = 0;
  Duration run{};
  std::optional<ZoneId> zone;
  bool at_team_limit = false;  // the team's limit had no room, whether or not machines had
};

/// Kept from round to round. Belongs to one profile, because it holds the profile's versions.
using FailedStarts = std::unordered_map<JobId, FailedStart>;

/// True when an attempt to start the job now would fail as before, because its demand is the same
/// and no capacity that it could use was freed since.
[[nodiscard]] bool would_fail_again(const FailedStarts& failed_starts, const QueueItem& item,
                                    const Reservations& reservations, const Profile& profile,
                                    WallTime now);

/// Remembers that the job could not start at `now`, except when it is unknown whether the team's
/// limit or the machines had no room.
void record_failed_start(FailedStarts& failed_starts, const QueueItem& item, const Profile& profile,
                         WallTime now);

}  // namespace marblevale
