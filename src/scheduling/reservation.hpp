/// Reservations: the start that each waiting job was granted, and the machines that are reserved
/// for it. They outlive a planning round; the profile's allocations for waiting jobs are derived
/// from them.
#pragma once

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/ids.hpp"
#include "core/time.hpp"

namespace marblevale {

/// A job's reservation. Machines are identified by id, because indexes into the profile can be
/// reused.
struct Reservation {
  struct Place {
    MachineId machine_id;
    WallTime start;
    WallTime end;
  };
  std::vector<Place> places;  // empty when no machine can take the job yet
  WallTime granted_start;     // the start granted at arrival
  WallTime start;             // when all its tasks have started
  WallTime end;
  bool changed = true;                    // changed since the last write to the state service
  std::optional<WallTime> last_recorded;  // time of the last write to the state service

  [[nodiscard]] WallTime first_start() const {
    WallTime first = start;
    for (const Place& place : places) first = std::min(first, place.start);
    return first;
  }
};

using Reservations = std::unordered_map<JobId, Reservation>;

/// Machines on which preemption made room for a job. The job's reservation is placed on these
/// machines only, because otherwise smaller jobs would take the freed room piece by piece.
using PinnedMachines = std::unordered_map<JobId, std::vector<MachineId>>;

/// A reservation that had to be moved to a later start.
struct ReservationDelay {
  JobId job_id;
  WallTime from;
  WallTime to;
};

}  // namespace marblevale
