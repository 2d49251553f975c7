/// Memory of starts that found no room. Trying one again is useless until capacity that the job
/// could use has been freed, and trying is what costs most in a round. Pure.
#pragma once

#include <optional>
#include <unordered_map>

#include "scheduling/queue_item.hpp"
#include "scheduling/reservation.hpp"

namespace marblevale {

/// An attempt to start that found no room, with what it asked for.
struct FailedStart {
  Profile::Version version;  // of the profile that had no room
  WallTime at;
  std::uint32_t tasks = 0;
  Duration run{};
  std::optional<ZoneId> zone;
  bool at_team_limit = false;  // the limit left too little, whatever the machines had
};

/// Kept from round to round, for one profile.
using FailedStarts = std::unordered_map<JobId, FailedStart>;

/// True when starting the job now would fail as it did before: it asks for the same, and nothing
/// that it could use has been freed since.
[[nodiscard]] bool would_fail_again(const FailedStarts& failed_starts, const QueueItem& item,
                                    const Reservations& reservations, const Profile& profile,
                                    WallTime now);

/// Remembers that the job could not start now.
void record_failed_start(FailedStarts& failed_starts, const QueueItem& item, const Profile& profile,
                         WallTime now);

}  // namespace marblevale
