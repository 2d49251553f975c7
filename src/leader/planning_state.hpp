/// The state that the planner keeps between rounds: the profile, the jobs' reservations and the
/// failed starts.
#pragma once

#include <functional>
#include <set>
#include <unordered_set>
#include <vector>

#include "config/settings.hpp"
#include "scheduling/occupancy.hpp"
#include "scheduling/planner.hpp"

namespace marblevale {

/// Belongs to one term of leadership. `begin_term` initializes it from the records.
class PlanningState {
 public:
  /// Loads the stored guarantees as reservations without places. The next round finds places at the
  /// guaranteed times.
  void begin_term(const Records& records);

  /// Marks a changed record, which the next `sync` reads again.
  void mark_slice_dirty(const SliceKey& key) { occupancy_.mark_slice_dirty(key); }
  void mark_machine_dirty(const MachineId& machine_id) {
    occupancy_.mark_machine_dirty(machine_id);
  }
  /// Makes the next `sync` rebuild the profile from all records. Keeps the reservations.
  void reset_profile();
  /// Like `reset_profile`, for a profile that disagrees with the records. Returns false and does
  /// nothing when the last such rebuild was too recent.
  bool rebuild_profile(SteadyTime now);

  /// Updates the profile from the records, the open changes (`pending`) and the booting machines.
  void sync(const Records& records, const Settings& settings, const PendingSlices& pending,
            const std::vector<BootingMachine>& booting, WallTime now);
  void set_unreachable_zones(const std::set<ZoneId>& zones, const Records& records) {
    occupancy_.set_unreachable_zones(zones, records);
  }
  /// Removes the reservations and failed starts of jobs that are no longer in the queue.
  void retain_only(const std::unordered_set<JobId>& queued_jobs);

  /// Moves the profile into a planner for one round. `take_back` must return it. `budget_spent`
  /// returns true when this share of the round's time budget is used up.
  [[nodiscard]] Planner lend_to_planner(std::vector<QueueItem> queue, WallTime now,
                                        std::function<bool(double share)> budget_spent);
  /// Ends the round and takes the profile back from the planner.
  void take_back(Planner& planner) { occupancy_.profile() = planner.take_profile(); }

  /// The reservations by job. `GuaranteeWriter` writes them as guarantees.
  [[nodiscard]] Reservations& reservations() { return reservations_; }
  /// The places in all reservations.
  [[nodiscard]] std::size_t reserved_tasks() const;

 private:
  Occupancy occupancy_;
  Reservations reservations_;
  FailedStarts failed_starts_;
  SteadyTime last_rebuild_ = kLongAgo;
};

}  // namespace marblevale
