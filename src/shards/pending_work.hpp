// The work that waits for the holder's next round, and the timer that starts the round.
#pragma once

#include <functional>
#include <set>

#include "net/loop.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Which slice the task's record is in.
[[nodiscard]] SliceKey slice_of(const TaskId& id);

/// Collects dirty slices and machines with orders to send, so that changes that come together are
/// handled in one round.
class PendingWork {
 public:
  PendingWork(Loop& loop, std::function<void()> run_round)
      : round_timer_(loop, std::move(run_round)) {}

  /// The slice has to be decided again.
  void mark_dirty(const SliceKey& key) { dirty_slices_.insert(key); }
  /// All slices of the job, and the machines that have its tasks.
  void mark_job_dirty(const Records& records, const JobId& job_id);
  /// The slices of all tasks that are placed on the machine.
  void mark_machine_dirty(const Records& records, const MachineId& machine_id);
  /// The slice, and the machines that have its tasks.
  void mark_slice_dirty(const Records& records, const SliceKey& key);
  /// The machine is to be sent its orders in the next round.
  void command_machine(const MachineId& machine_id) { machines_to_command_.insert(machine_id); }
  /// Does nothing when a round is scheduled already.
  void schedule_round(Duration delay = kCoalesceDelay);

  /// Hands the dirty slices over; what is marked from now on belongs to the round after.
  [[nodiscard]] std::set<SliceKey> take_dirty_slices();
  /// Gives back slices that a round had no time for.
  void return_slices(std::set<SliceKey> slices) { dirty_slices_.merge(slices); }
  [[nodiscard]] std::set<MachineId> take_machines_to_command();
  [[nodiscard]] bool has_machines_to_command() const { return !machines_to_command_.empty(); }
  void clear();

 private:
  static constexpr Duration kCoalesceDelay{2};  // changes of one batch arrive within it

  std::set<SliceKey> dirty_slices_;
  std::set<MachineId> machines_to_command_;
  Timer round_timer_;
};

}  // namespace marblevale
