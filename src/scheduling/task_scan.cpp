#include "scheduling/task_scan.hpp"

#include <algorithm>

namespace marblevale {

namespace {

/// An array whose tasks failed on this many machines, and worked on none, is assumed to be faulty
/// itself.
constexpr std::size_t kFaultyJobMachines = 3;
/// A single task is assumed to be faulty after this many errors. Its record names only the last
/// machine on which it failed, so machines can't be counted.
constexpr std::uint32_t kFaultyJobFaults = 3;
/// A task that has run for this long counts as working.
constexpr Duration kProvenRun{4'000};

/// Backoff after a task's `failure_count`-th error. The first retry is immediate, on another
/// machine. The backoff grows so that a job that keeps failing leaves capacity to other jobs.
Duration retry_backoff(std::uint32_t faults) {
  switch (faults) {
    case 0:
    case 1:
      return Duration{0};
    case 2:
      return Duration{4'000};
    case 3:
      return Duration{10'000};
    default:
      return Duration{30'000};
  }
}

}  // namespace

bool TaskScan::is_waiting(const TaskRecord& task) const {
  if (task.state == TaskState::idle) return true;
  // Replicas of a service job never complete, so a record that says `done` is treated as waiting.
  return job_.is_service() && task.state == TaskState::done;
}

bool TaskScan::is_failing() const {
  return !has_worked_ &&
         (failed_on_.size() >= kFaultyJobMachines || max_faults_ >= kFaultyJobFaults);
}

bool TaskScan::has_waiting(const SliceSummary& summary) const {
  return summary.idle > 0 || (job_.is_service() && summary.done > 0);
}

void TaskScan::add_slice(const SliceRecord& slice, const SliceSummary& summary) {
  add_history(summary);
  if (!has_waiting(summary)) return;
  // Once enough tasks of an array are listed, further ones matter only by their failures.
  if (ready_.size() >= kMaxQueuedTasks && summary.failed_on.empty()) return;
  std::uint32_t task_index = slice.first_task_index();
  for (const TaskRecord& task : slice.tasks) {
    if (is_waiting(task)) add_waiting(task_index, task);
    ++task_index;
  }
}

void TaskScan::add_unrecorded(std::uint32_t first_task_index, std::uint32_t count) {
  if (count == 0 || ready_.size() >= kMaxQueuedTasks) return;
  progress_ = Duration{0};
  if (job_.gang()) {
    waiting_in_gang_ += count;
    return;
  }
  const auto listed =
      static_cast<std::uint32_t>(std::min<std::size_t>(count, kMaxQueuedTasks - ready_.size()));
  for (std::uint32_t i = 0; i < listed; ++i) ready_.push_back(first_task_index + i);
}

void TaskScan::add_history(const SliceSummary& summary) {
  has_begun_ = has_begun_ || summary.has_begun;
  const bool lasted = summary.first_run != WallTime::max() && now_ - summary.first_run > kProvenRun;
  has_worked_ = has_worked_ || summary.has_progressed || lasted;
  for (const ZoneTaskCount& placed : summary.placed_tasks) {
    placed_tasks_[placed.zone] += placed.tasks;
  }
  failed_on_.insert(summary.failed_on.begin(), summary.failed_on.end());
}

void TaskScan::add_waiting(std::uint32_t task_index, const TaskRecord& task) {
  const WallTime retry_at = task.since + retry_backoff(task.failure_count);
  first_retry_ = std::min(first_retry_, retry_at);
  if (task.failure_count > 0) {
    last_fault_ = std::max(last_fault_, task.since);
    if (task.failure_count > max_faults_) worst_task_ = task_index;
    max_faults_ = std::max(max_faults_, task.failure_count);
  }
  const bool backs_off = task.failure_count > 0 && retry_at > now_;
  any_backs_off_ = any_backs_off_ || backs_off;
  if (job_.gang()) {
    ++waiting_in_gang_;
  } else {
    std::vector<std::uint32_t>& list = backs_off ? backing_off_ : ready_;
    if (list.size() >= kMaxQueuedTasks) return;
    list.push_back(task_index);
  }
  progress_ = std::min(progress_, task.progress);
}

std::optional<TaskScan::Selection> TaskScan::take_selection() {
  if (job_.gang()) return select_gang();
  if (worst_task_ && !has_worked_ && failed_on_.size() >= kFaultyJobMachines) {
    return select_probe();
  }
  if (!ready_.empty()) return Selection{std::move(ready_), WallTime{}};
  if (!backing_off_.empty()) return Selection{std::move(backing_off_), first_retry_};
  return std::nullopt;
}

std::optional<TaskScan::Selection> TaskScan::select_gang() const {
  // A gang starts only as a whole, after all its earlier tasks are proven to have ended.
  if (has_placed() || waiting_in_gang_ != job_.task_count) return std::nullopt;
  Selection all;
  // The backoff of the task that failed applies to the whole gang. The other tasks only end with it
  // and have no backoff of their own. If the gang did not wait for the failed task's backoff, a
  // faulty gang would start again every few seconds and preempt other jobs each time.
  if (any_backs_off_) all.not_before = last_fault_ + retry_backoff(max_faults_);
  return all;
}

std::optional<TaskScan::Selection> TaskScan::select_probe() const {
  // The job seems faulty, so only one task at a time is retried until one works. With a separate
  // backoff for each task, 14 tasks failed 68 times in 90 s and preempted other jobs.
  if (has_placed()) return std::nullopt;
  return Selection{{*worst_task_}, last_fault_ + retry_backoff(max_faults_)};
}

}  // namespace marblevale
