/// What the planner keeps from one round to the next: the profile, the jobs' reservations and the
/// starts that failed.
#pragma once

#include <functional>
#include <set>
#include <unordered_set>
#include <vector>

#include "config/settings.hpp"
#include "scheduling/occupancy.hpp"
#include "scheduling/planner.hpp"

namespace marblevale {

/// Belongs to one term of leadership; `begin_term` starts it again from the records.
class PlanningState {
 public:
  /// Takes over the stored guarantees as reservations without a place; the next round finds places
  /// at the guaranteed times.
  void begin_term(const Records& records);

  /// Marks what has changed in the records; it is read again at the next `sync`.
  void mark_slice_dirty(const SliceKey& key) { occupancy_.mark_slice_dirty(key); }
  void mark_machine_dirty(const MachineId& machine_id) {
    occupancy_.mark_machine_dirty(machine_id);
  }
  /// Has the profile rebuilt from all records at the next `sync`. Reservations stay.
  void reset_profile();
  /// As `reset_profile`, for a profile that disagrees with the records. False, and nothing is done,
  /// when the last such rebuild was a short while ago.
  bool rebuild_profile(SteadyTime now);

  /// Brings the profile up to the records.
  void sync(const Records& records, const Settings& settings, const Occupancy::Slices& pending,
            const std::vector<BootingMachine>& booting, WallTime now);
  void set_unreachable_zones(const std::set<ZoneId>& zones, const Records& records) {
    occupancy_.set_unreachable_zones(zones, records);
  }
  /// Forgets reservations and failed starts of jobs that wait no longer.
  void retain_only(const std::unordered_set<JobId>& queued_jobs);

  /// Lends the profile to a round's planner. `budget_spent` tells whether this share of the
  /// round's time is used up.
  [[nodiscard]] Planner lend_to_planner(std::vector<QueueItem> queue, WallTime now,
                                        std::function<bool(double share)> budget_spent);
  /// Ends the round: takes the profile back.
  void take_back(Planner& planner) { occupancy_.profile() = planner.take_profile(); }

  /// By job; also the guarantees that `GuaranteeWriter` writes.
  [[nodiscard]] Reservations& reservations() { return reservations_; }

 private:
  Occupancy occupancy_;
  Reservations reservations_;
  FailedStarts failed_starts_;
  SteadyTime last_rebuild_ = kLongAgo;
};

}  // namespace marblevale
