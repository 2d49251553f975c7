/// The work queued for the holder's next round, and the timer that starts the round.
#pragma once

#include <functional>
#include <set>

#include "net/loop.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// The slice that contains the task's record.
[[nodiscard]] SliceKey slice_of(const TaskId& id);

/// Collects dirty slices and machines that are due direct orders, so that changes that arrive
/// together are handled in one round.
class PendingWork {
 public:
  PendingWork(Loop& loop, std::function<void()> run_round)
      : round_timer_(loop, std::move(run_round)) {}

  /// Marks the slice for reconciliation.
  void mark_dirty(const SliceKey& key) { dirty_slices_.insert(key); }
  /// Marks all slices of the job, and schedules orders to the machines with its tasks.
  void mark_job_dirty(const Records& records, const JobId& job_id);
  /// Marks the slices of all tasks that are placed on the machine.
  void mark_machine_dirty(const Records& records, const MachineId& machine_id);
  /// Marks the slice, and schedules orders to the machines with its tasks.
  void mark_slice_dirty(const Records& records, const SliceKey& key);
  /// Schedules the machine to be sent its due orders in the next round.
  void schedule_orders(const MachineId& machine_id) {
    machines_awaiting_orders_.insert(machine_id);
  }
  /// Schedules a round after `delay`, unless a round is already scheduled.
  void schedule_round(Duration delay = kCoalesceDelay);

  /// Removes and returns the dirty slices; slices marked later belong to the next round.
  [[nodiscard]] std::set<SliceKey> take_dirty_slices();
  /// Puts back the slices that a round has not reconciled.
  void return_slices(std::set<SliceKey> slices) { dirty_slices_.merge(slices); }
  [[nodiscard]] std::set<MachineId> take_machines_awaiting_orders();
  [[nodiscard]] bool has_machines_awaiting_orders() const {
    return !machines_awaiting_orders_.empty();
  }
  void clear();

 private:
  static constexpr Duration kCoalesceDelay{2};  // the changes of one batch arrive within this time

  std::set<SliceKey> dirty_slices_;
  std::set<MachineId> machines_awaiting_orders_;
  Timer round_timer_;
};

}  // namespace marblevale
