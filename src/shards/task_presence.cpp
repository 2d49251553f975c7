#include "shards/task_presence.hpp"

namespace marblevale {

bool WorkerView::apply(const WorkerHeartbeat& heartbeat, Source source) {
  const bool newer =
      heartbeat.epoch > epoch || (heartbeat.epoch == epoch && heartbeat.sequence > sequence);
  if (!newer) return false;
  // What was said in answer to an earlier epoch's reports is dropped.
  if (heartbeat.epoch > epoch) answered_starts.clear();
  epoch = heartbeat.epoch;
  sequence = heartbeat.sequence;
  if (source == Source::worker) last_own_heartbeat = heartbeat.sequence;
  token = std::max(token, heartbeat.token);
  address = heartbeat.address;
  tasks.clear();
  for (const ReportedTask& task : heartbeat.tasks) tasks[{task.id, task.attempt}] = task;
  return true;
}

void WorkerView::prune() {
  std::erase_if(direct_starts, [this](const auto& entry) { return entry.second < token; });
  std::erase_if(answered_starts,
                [this](const auto& entry) { return entry.second < last_own_heartbeat; });
}

bool WorkerView::start_settled(const TaskAttempt& start, FencingToken current) const {
  // Until the worker has seen our fencing token, an earlier holder's orders may still be executed.
  if (token < current) return false;
  const auto direct = direct_starts.find(start);
  if (direct != direct_starts.end() && direct->second >= token) return false;
  const auto answered = answered_starts.find(start);
  return answered == answered_starts.end() || answered->second < last_own_heartbeat;
}

const ReportedTask* find_reported(const WorkerView& worker, const TaskAttempt& attempt) {
  const auto it = worker.tasks.find(attempt);
  return it == worker.tasks.end() ? nullptr : &it->second;
}

TaskPresence classify_presence(const TaskId& id, const TaskRecord& task, const WorkerView& worker,
                               FencingToken current) {
  // A new epoch: the worker has killed and forgotten all that it had, and drops what was sent to
  // the epoch before.
  if (worker.epoch > task.epoch) return TaskPresence::lost;
  if (worker.epoch < task.epoch) return TaskPresence::absent;
  if (const ReportedTask* there = find_reported(worker, {id, task.attempt})) {
    return there->status == TaskStatus::ended ? TaskPresence::ended : TaskPresence::present;
  }
  return worker.start_settled({id, task.attempt}, current) ? TaskPresence::never_here
                                                           : TaskPresence::absent;
}

namespace {

/// Work that is saved when a task ends without being done.
Duration progress_after(const TaskRecord& task, const JobSpec& job, Duration ran, bool saved) {
  if (saved) return std::min(job.estimated_run, task.progress + ran);
  if (job.checkpoint_interval <= Duration{0} || ran <= Duration{0}) return task.progress;
  const auto whole = (task.progress + ran).count() / job.checkpoint_interval.count();
  const Duration saved_by_itself{whole * job.checkpoint_interval.count()};
  return std::min(job.estimated_run, std::max(task.progress, saved_by_itself));
}

/// A replica has no work to finish: however it ends, it has to run again. One that ends soon, in
/// whatever way, is tried again with a growing pause; one that has run for long is as good as new.
void end_replica(TaskRecord& task, const std::string& cause, Duration ran) {
  const bool failed = cause == "error" || cause == "unknown";
  if (ran >= kProvenReplicaRun) task.faults = 0;
  if (!failed && (cause != "done" || ran >= kProvenReplicaRun)) return;
  ++task.faults;
  task.failed_on = task.machine_id;
}

}  // namespace

void apply_end(TaskRecord& task, const JobSpec& job, const std::string& cause, bool saved,
               WallTime now) {
  const Duration ran = task.running == WallTime{} ? Duration{0} : now - task.running;
  task.state = TaskState::idle;
  if (job.endless()) {
    end_replica(task, cause, ran);
  } else if (cause == "done") {
    task.state = TaskState::done;
  } else {
    task.progress = progress_after(task, job, ran, cause == "halted" && saved);
    if (cause == "error" || cause == "unknown") {
      ++task.faults;
      task.failed_on = task.machine_id;
    }
  }
  task.zone = ZoneId{};
  task.machine_id = MachineId{};
  task.epoch = WorkerEpoch{};
  task.running = WallTime{};
  task.since = now;
  task.stop.reset();
}

}  // namespace marblevale
