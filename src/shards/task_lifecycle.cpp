#include "shards/task_lifecycle.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "shards/write_pacing.hpp"

namespace marblevale {

bool stop_broken_gang(SliceRecord& slice) {
  const bool broken =
      std::any_of(slice.tasks.begin(), slice.tasks.end(),
                  [](const TaskRecord& task) { return task.state == TaskState::idle; });
  if (!broken) return false;
  bool changed = false;
  for (TaskRecord& task : slice.tasks) {
    if (!task.placed() || task.stop) continue;
    task.stop = StopOrder{Duration{0}, "its gang lost a task"};
    changed = true;
  }
  return changed;
}

TaskLifecycle::TaskLifecycle(const ShardContext& context, ShardOwnership& shards,
                             WorkerRegistry& workers, MachineRecorder& machines,
                             const TaskBinder& binder, SliceCommits& commits)
    : context_(context),
      shards_(shards),
      workers_(workers),
      machines_(machines),
      binder_(binder),
      commits_(commits) {}

void TaskLifecycle::decide_slice(const SliceKey& key) {
  const Records& records = context_.cache.records();
  const auto* stored = records.slice(key.job_id, key.number);
  const JobRecord* job = records.job(key.job_id);
  if (stored == nullptr || job == nullptr) return;
  const bool cancelled = job->cancelled || context_.cancellations.cancelled_at(key.job_id);

  SliceChange change;
  change.slice = stored->record;
  change.max_delay = kRunningBatchDelay;
  for (std::size_t index = 0; index < change.slice.tasks.size(); ++index) {
    decide_task(change, index, *job, cancelled);
  }
  if (job->spec.gang()) decide_gang(change, stored->record, job->spec);
  if (!change.changed) {
    deferred_since_.erase(key);
    return;
  }
  if (commit_due(key, change)) commits_.commit(key, make_transaction(key, change));
}

void TaskLifecycle::decide_task(SliceChange& change, std::size_t index, const JobRecord& job,
                                bool cancelled) {
  SliceRecord& slice = change.slice;
  TaskRecord& task = slice.tasks[index];
  if (!task.placed() || !shards_.holds(task.zone)) return;
  const TaskId id{slice.job_id, slice.first_task_index() + static_cast<std::uint32_t>(index)};
  const TaskRecord before = task;
  if (task.state != TaskState::released) {
    judge_bound_task(id, task, job.spec);
  } else if (job.cancelled || task.stop) {
    // No start is sent before the binding is committed, so there is nothing to wait for.
    apply_end(task, job.spec, "never bound", false, context_.clock.wall());
  } else if (!cancelled) {
    binder_.bind(slice, index, job.spec, change.promised);  // without room: again at each sweep
  }
  note_task_change(change, before, task, job.spec);
}

void TaskLifecycle::note_task_change(SliceChange& change, const TaskRecord& before,
                                     const TaskRecord& after, const JobSpec& job) {
  if (after.state == before.state && after.running == before.running &&
      after.machine_id == before.machine_id) {
    return;
  }
  change.changed = true;
  change.zones.insert(before.zone);
  // A task of an array that ends gives room back, and one that runs shows when it will: both can
  // wait a little for the others of the slice. A binding, a failure or a stop can't.
  const bool was_bound = before.state == TaskState::bound;
  const bool ended = was_bound && after.state == TaskState::done;
  const bool runs = was_bound && after.state == TaskState::bound;
  if (runs) {
    change.max_delay = std::min(change.max_delay, kRunningBatchDelay);
  } else if (ended && !job.gang() && !before.stop) {
    change.max_delay = std::min(change.max_delay, kTaskEndBatchDelay);
  } else {
    change.max_delay = Duration{0};
  }
}

void TaskLifecycle::decide_gang(SliceChange& change, const SliceRecord& before,
                                const JobSpec& job) const {
  const auto is_done = [](const TaskRecord& task) { return task.state == TaskState::done; };
  std::vector<TaskRecord>& tasks = change.slice.tasks;
  if (std::none_of(tasks.begin(), tasks.end(), is_done)) {
    if (stop_broken_gang(change.slice)) {
      change.changed = true;
      change.max_delay = Duration{0};
    }
    return;
  }
  // A gang completes together: one done, all done, and all have left their machines. That is so for
  // an attempt that ran. Of one that was started again after its end, each task reports the stored
  // result as soon as its machine has the image, while others may still fetch theirs: those keep
  // their places until proof.
  const bool ran = std::any_of(before.tasks.begin(), before.tasks.end(),
                               [](const TaskRecord& task) { return task.running != WallTime{}; });
  change.max_delay = Duration{0};
  for (TaskRecord& task : tasks) {
    if (is_done(task)) continue;
    if (task.state == TaskState::bound && !ran) {
      change.max_delay = kMachineBatchDelay;  // the others' reports are likely on their way
      continue;
    }
    apply_end(task, job, "done", false, context_.clock.wall());
    change.changed = true;
  }
}

void TaskLifecycle::judge_bound_task(const TaskId& id, TaskRecord& task, const JobSpec& job) {
  const auto& machines = context_.cache.records().machines;
  const auto machine = machines.find(task.machine_id);
  if (machine != machines.end() && machine->second.record.state == MachineState::gone) {
    end_task(id, task, job, "machine gone", false);
    return;
  }
  KnownWorker* worker = workers_.find(task.machine_id);
  if (worker == nullptr) return;
  const TaskAttempt attempt{id, task.attempt};
  const ReportedTask* reported = find_reported(worker->view, attempt);
  const bool unwanted = task.stop || context_.cancellations.cancelled_at(id.job_id);
  switch (classify_presence(id, task, worker->view, shards_.token_of(task.zone))) {
    case TaskPresence::ended:
      end_task(id, task, job, reported->cause, reported->saved);
      break;
    case TaskPresence::lost:
      end_task(id, task, job, "lease lost", false);
      break;
    case TaskPresence::never_here:
      if (unwanted) end_task(id, task, job, "never started", false);
      break;
    case TaskPresence::present:
      if (task.running == WallTime{} && reported->status == TaskStatus::running) {
        record_running(id, task, job, *worker);
      }
      break;
    case TaskPresence::absent:
      // A start sent to /orders may still arrive: only a higher fencing token ends that.
      if (unwanted && worker->view.direct_starts.contains(attempt)) {
        shards_.request_renewal(task.zone);
      }
      break;
  }
}

void TaskLifecycle::record_running(const TaskId& id, TaskRecord& task, const JobSpec& job,
                                   KnownWorker& worker) {
  task.running = context_.clock.wall();
  note_image_use(task.machine_id, job, worker);
  spdlog::debug("holder: {} try {} runs on {}", id.str(), task.attempt.get(),
                task.machine_id.get());
}

void TaskLifecycle::note_image_use(const MachineId& machine_id, const JobSpec& job,
                                   KnownWorker& worker) const {
  const Records& records = context_.cache.records();
  const auto machine = records.machines.find(machine_id);
  if (machine == records.machines.end()) return;
  const MachineType* type = records.type(machine->second.record.machine_type);
  if (type == nullptr) return;
  if (worker.images.empty()) worker.images = machine->second.record.images;
  const bool changed = note_image(worker.images, job.image, job.image_gb, type->cache_gb);
  worker.images_changed = worker.images_changed || changed;
}

void TaskLifecycle::end_task(const TaskId& id, TaskRecord& task, const JobSpec& job,
                             const std::string& cause, bool saved) {
  if (cause == "error" && task.faults == 0) suspect_machine(id, task.machine_id);
  spdlog::debug("holder: {} try {} on {} ended: {}{}", id.str(), task.attempt.get(),
                task.machine_id.get(), cause, saved ? ", saved" : "");
  apply_end(task, job, cause, saved, context_.clock.wall());
}

void TaskLifecycle::suspect_machine(const TaskId& id, const MachineId& machine_id) {
  // Mostly the machine is faulty, yet a job with a mistake fails everywhere: the machine takes
  // nothing new until the leader has seen whose fault it was (`Fleet::judge_suspect`). It asks of
  // all jobs that failed there: two with a mistake are no proof against the machine.
  const auto& machines = context_.cache.records().machines;
  const auto machine = machines.find(machine_id);
  if (machine == machines.end()) return;
  const MachineState state = machine->second.record.state;
  // One that is suspect keeps its first job; one that is given up stays so.
  if (state != MachineState::up && state != MachineState::silent) return;
  machines_.set_state(machine_id, MachineState::suspect, "a task failed on it", id.job_id);
}

bool TaskLifecycle::commit_due(const SliceKey& key, const SliceChange& change) {
  Duration max_delay = change.max_delay;
  if (change.slice.all_done() || context_.cache.write_slack() > kAmpleWriteSlack) {
    max_delay = Duration{0};
  }
  const SteadyTime now = context_.clock.steady();
  const SteadyTime since = deferred_since_.try_emplace(key, now).first->second;
  if (now - since < max_delay) return false;  // the sweep decides it again
  deferred_since_.erase(key);
  context_.metrics.count(max_delay == Duration{0} ? "slices at once" : "slices gathered");
  return true;
}

Transaction TaskLifecycle::make_transaction(const SliceKey& key, const SliceChange& change) const {
  const Records& records = context_.cache.records();
  const auto& job = records.jobs.at(key.job_id);
  Transaction txn;
  // A binding of a holder that was replaced, or for a job cancelled meanwhile, must fail.
  for (const ZoneId& zone : change.zones) shards_.guard(txn, zone);
  txn.guard(keys::job(key.job_id), job.mod_revision);
  txn.guard(keys::slice(key.job_id, key.number),
            records.slice(key.job_id, key.number)->mod_revision);
  const JobSpec& spec = job.record.spec;
  const bool job_is_done = !spec.endless() && slice_count(spec) == 1 && change.slice.all_done();
  if (job_is_done) {
    // The leader removes the slice and the grant when there is budget to spare.
    txn.put(keys::final_job(key.job_id),
            encode(final_record(key.job_id, job.record), context_.cache.lasting_value_bytes()))
        .remove(keys::job(key.job_id));
  } else {
    txn.put(keys::slice(key.job_id, key.number),
            encode(change.slice, context_.cache.record_size()));
  }
  return txn;
}

FinalRecord TaskLifecycle::final_record(const JobId& job_id, const JobRecord& job) const {
  const auto& guarantee_records = context_.cache.records().guarantee_records;
  FinalRecord record;
  record.job_id = job_id;
  // A user who was told that the job is cancelled must not be told that it is done, though its
  // tasks ended before they could be stopped.
  record.state = job.cancelled ? FinalState::cancelled : FinalState::done;
  record.task_count = job.spec.task_count;
  record.accepted = job.accepted;
  record.ended = context_.clock.wall();
  if (const auto guarantee_record = guarantee_records.find(job_id);
      guarantee_record != guarantee_records.end()) {
    record.notes = guarantee_record->second.record.notes;
  }
  return record;
}

void TaskLifecycle::mark_deferred_dirty(PendingWork& work) const {
  for (const auto& [key, since] : deferred_since_) work.mark_dirty(key);
}

}  // namespace marblevale
