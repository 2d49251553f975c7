/// Collects from a job's task records what the queue needs: the tasks to place next, and the
/// history that ranks the job and constrains its placement. Pure.
///
/// The history covers every task. Only the lists of tasks to place are bounded.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "scheduling/slice_summary.hpp"

namespace marblevale {

/// Most tasks of one array that are queued at the same time: enough to use many free machines in
/// one round, and few enough that an array of 100,000 tasks needs neither that many reservations
/// nor that many writes.
inline constexpr std::size_t kMaxQueuedTasks = std::size_t{4} * kSliceTasks;

/// The state of one job's tasks, built by adding every slice of the job once, in ascending order.
class TaskScan {
 public:
  TaskScan(const JobSpec& job, WallTime now) : job_(job), now_(now), progress_(job.estimated_run) {}

  void add_slice(const SliceRecord& slice, const SliceSummary& summary);
  /// Adds waiting tasks that have no record yet.
  void add_unrecorded(std::uint32_t first_task_index, std::uint32_t count);

  [[nodiscard]] bool has_begun() const { return has_begun_; }
  [[nodiscard]] bool has_placed() const { return !placed_tasks_.empty(); }
  /// The least saved progress of any queued task.
  [[nodiscard]] Duration progress() const { return progress_; }
  [[nodiscard]] const std::map<ZoneId, std::uint32_t>& placed_tasks() const {
    return placed_tasks_;
  }
  /// True when the job failed repeatedly and none of its tasks has worked.
  [[nodiscard]] bool is_failing() const;

  /// The tasks to place, and the earliest time at which they may start. A gang's tasks are not
  /// listed, because it places all of them. At most `kMaxQueuedTasks` tasks of an array are listed.
  struct Selection {
    std::vector<std::uint32_t> task_indices;
    WallTime not_before;
  };
  /// Returns nothing while no task may be placed. Moves the lists out of the scan, so it must be
  /// the last call.
  [[nodiscard]] std::optional<Selection> take_selection();

 private:
  [[nodiscard]] bool is_waiting(const TaskRecord& task) const;
  void add_history(const SliceSummary& summary);
  [[nodiscard]] bool has_waiting(const SliceSummary& summary) const;
  void add_waiting(std::uint32_t task_index, const TaskRecord& task);
  [[nodiscard]] std::optional<Selection> select_gang() const;
  [[nodiscard]] std::optional<Selection> select_probe() const;

  const JobSpec& job_;
  WallTime now_;
  Duration progress_;
  bool any_backs_off_ = false;
  // The first waiting tasks of an array. A gang places all its tasks, so they are only counted.
  std::vector<std::uint32_t> ready_;
  std::vector<std::uint32_t> backing_off_;
  std::size_t waiting_in_gang_ = 0;
  WallTime first_retry_ = WallTime::max();
  WallTime last_fault_;
  std::uint32_t max_faults_ = 0;             // of one waiting task
  std::optional<std::uint32_t> worst_task_;  // the waiting task with the most errors
  std::set<MachineId> failed_on_;
  std::map<ZoneId, std::uint32_t> placed_tasks_;
  bool has_worked_ = false;
  bool has_begun_ = false;
};

}  // namespace marblevale
