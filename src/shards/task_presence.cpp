#include "shards/task_presence.hpp"

namespace marblevale {

bool WorkerStatus::apply(const WorkerHeartbeat& heartbeat, Source source) {
  const bool newer =
      heartbeat.epoch > epoch || (heartbeat.epoch == epoch && heartbeat.sequence > sequence);
  if (!newer) return false;
  // The worker drops replies to heartbeats of an earlier epoch.
  if (heartbeat.epoch > epoch) reply_starts.clear();
  epoch = heartbeat.epoch;
  sequence = heartbeat.sequence;
  if (source == Source::own_heartbeat) last_own_heartbeat = heartbeat.sequence;
  token = std::max(token, heartbeat.token);
  address = heartbeat.address;
  tasks.clear();
  for (const ReportedTask& task : heartbeat.tasks) tasks[{task.id, task.attempt}] = task;
  return true;
}

void WorkerStatus::prune() {
  std::erase_if(direct_starts, [this](const auto& entry) { return entry.second < token; });
  std::erase_if(reply_starts,
                [this](const auto& entry) { return entry.second < last_own_heartbeat; });
}

bool WorkerStatus::start_ruled_out(const TaskAttempt& start, FencingToken held_token) const {
  // Until the worker has seen this holder's token it still executes earlier holders' orders.
  if (token < held_token) return false;
  const auto direct = direct_starts.find(start);
  if (direct != direct_starts.end() && direct->second >= token) return false;
  const auto reply = reply_starts.find(start);
  return reply == reply_starts.end() || reply->second < last_own_heartbeat;
}

const ReportedTask* find_reported(const WorkerStatus& worker, const TaskAttempt& attempt) {
  const auto it = worker.tasks.find(attempt);
  return it == worker.tasks.end() ? nullptr : &it->second;
}

TaskPresence classify_presence(const TaskId& id, const TaskRecord& task, const WorkerStatus& worker,
                               FencingToken held_token) {
  // A worker in a new epoch has ended all tasks of the previous epoch, and drops orders to that
  // epoch.
  if (worker.epoch > task.epoch) return TaskPresence::lost;
  if (worker.epoch < task.epoch) return TaskPresence::not_reported;
  const TaskAttempt attempt{id, task.attempt};
  if (const ReportedTask* reported = find_reported(worker, attempt)) {
    return reported->status == TaskStatus::ended ? TaskPresence::ended : TaskPresence::present;
  }
  return worker.start_ruled_out(attempt, held_token) ? TaskPresence::never_started
                                                     : TaskPresence::not_reported;
}

namespace {

bool is_failure(TaskEndCause cause) {
  return cause == TaskEndCause::failed || cause == TaskEndCause::unknown;
}

void count_fault(TaskRecord& task) {
  ++task.failure_count;
  task.failed_on = task.machine_id;
}

/// The progress that is kept when a task ends without having completed.
Duration progress_after_end(const TaskRecord& task, const JobSpec& job, Duration run_time,
                            bool checkpointed) {
  if (checkpointed) return std::min(job.estimated_run, task.progress + run_time);
  if (job.checkpoint_interval <= Duration{0} || run_time <= Duration{0}) return task.progress;
  const auto checkpoints = (task.progress + run_time).count() / job.checkpoint_interval.count();
  const Duration last_checkpoint{checkpoints * job.checkpoint_interval.count()};
  return std::min(job.estimated_run, std::max(task.progress, last_checkpoint));
}

/// A replica has no work to complete and has to run again after every end. An early end, even a
/// regular one, counts as a fault and is retried with backoff.
void end_replica(TaskRecord& task, TaskEndCause cause, Duration run_time) {
  const bool was_stable = run_time >= kStableReplicaRunTime;
  if (was_stable) task.failure_count = 0;
  const bool completed_early = cause == TaskEndCause::completed && !was_stable;
  if (is_failure(cause) || completed_early) count_fault(task);
}

}  // namespace

void apply_task_end(TaskRecord& task, const JobSpec& job, TaskEndCause cause, bool checkpointed,
                    WallTime now) {
  const Duration run_time =
      task.running_since == WallTime{} ? Duration{0} : now - task.running_since;
  task.state = TaskState::idle;
  if (job.is_service()) {
    end_replica(task, cause, run_time);
  } else if (cause == TaskEndCause::completed) {
    task.state = TaskState::done;
  } else {
    const bool keeps_all_progress = cause == TaskEndCause::preempted && checkpointed;
    task.progress = progress_after_end(task, job, run_time, keeps_all_progress);
    if (is_failure(cause)) count_fault(task);
  }
  task.zone = ZoneId{};
  task.machine_id = MachineId{};
  task.epoch = WorkerEpoch{};
  task.running_since = WallTime{};
  task.since = now;
  task.stop.reset();
}

}  // namespace marblevale
