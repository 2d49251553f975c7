/// Reservations: the start that each waiting job was granted, and the machines that are held for
/// it. They outlive a planning round; the profile's allocations are derived from them.
#pragma once

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/ids.hpp"
#include "core/time.hpp"

namespace marblevale {

/// A job's reservation. Machines are named by id, since indexes into the profile can be reused.
struct Reservation {
  struct Place {
    MachineId machine_id;
    WallTime start;
    WallTime end;
  };
  std::vector<Place> places;  // empty: no machine can take the job yet
  WallTime granted_start;     // at arrival
  WallTime start;             // when all its tasks have started
  WallTime end;
  bool changed = true;                    // since it was last written to the state service
  std::optional<WallTime> last_recorded;  // when it was last written there

  [[nodiscard]] WallTime first_start() const {
    WallTime first = start;
    for (const Place& place : places) first = std::min(first, place.start);
    return first;
  }
};

using Reservations = std::unordered_map<JobId, Reservation>;

/// Machines on which room was made for a job by preemption. Its reservation is on just these: freed
/// elsewhere, the room would be taken piece by piece by smaller jobs.
using PinnedMachines = std::unordered_map<JobId, std::vector<MachineId>>;

/// A reservation that had to be moved to a later start.
struct ReservationDelay {
  JobId job_id;
  WallTime from;
  WallTime to;
};

}  // namespace marblevale
