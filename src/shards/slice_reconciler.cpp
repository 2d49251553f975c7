#include "shards/slice_reconciler.hpp"

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
    task.stop = StopOrder{Duration{0}, StopReason("its gang lost a task")};
    changed = true;
  }
  return changed;
}

SliceReconciler::SliceReconciler(const ShardContext& context, ShardOwnership& shards,
                                 WorkerRegistry& workers, MachineRecorder& machines,
                                 const TaskBinder& binder, SliceCommits& commits)
    : context_(context),
      shards_(shards),
      workers_(workers),
      machines_(machines),
      binder_(binder),
      commits_(commits) {}

void SliceReconciler::reconcile(const SliceKey& key) {
  const Records& records = context_.cache.records();
  const auto* stored = records.slice(key.job_id, key.number);
  const JobRecord* job = records.job(key.job_id);
  if (stored == nullptr || job == nullptr) return;
  const bool cancelled = job->cancelled || context_.cancellations.cancelled_at(key.job_id);

  SliceChange change;
  change.slice = stored->record;
  change.max_delay = kRunningBatchDelay;
  for (std::size_t index = 0; index < change.slice.tasks.size(); ++index) {
    reconcile_task(change, index, *job, cancelled);
  }
  if (job->spec.gang()) reconcile_gang(change, stored->record, job->spec);
  if (!change.changed) {
    deferred_since_.erase(key);
    return;
  }
  if (commit_due(key, change)) commits_.commit(key, make_transaction(key, change));
}

void SliceReconciler::reconcile_task(SliceChange& change, std::size_t index, const JobRecord& job,
                                     bool cancelled) {
  SliceRecord& slice = change.slice;
  TaskRecord& task = slice.tasks[index];
  if (!task.placed() || !shards_.holds(task.zone)) return;
  const TaskId id{slice.job_id, slice.first_task_index() + static_cast<std::uint32_t>(index)};
  const TaskRecord before = task;
  if (task.state != TaskState::released) {
    reconcile_bound_task(id, task, job.spec);
  } else if (job.cancelled || task.stop) {
    // No start is sent before the binding is committed, so no evidence of termination is needed.
    apply_task_end(task, job.spec, TaskEndCause::never_bound, false, context_.clock.wall());
  } else if (!cancelled) {
    // Without free capacity the binding is retried at each sweep.
    binder_.bind(slice, index, job.spec, change.uncommitted);
  }
  record_task_change(change, before, task, job.spec);
}

void SliceReconciler::record_task_change(SliceChange& change, const TaskRecord& before,
                                         const TaskRecord& after, const JobSpec& job) {
  if (after.state == before.state && after.running_since == before.running_since &&
      after.machine_id == before.machine_id) {
    return;
  }
  change.changed = true;
  change.zones.insert(before.zone);
  // The end of an array's task frees capacity, and the start of a run only tells when capacity will
  // be freed, so both may wait for other changes of the slice. A binding, a failure or a stop is
  // committed without delay.
  const bool was_bound = before.state == TaskState::bound;
  const bool ended = was_bound && after.state == TaskState::done;
  const bool began_to_run = was_bound && after.state == TaskState::bound;
  if (began_to_run) {
    change.max_delay = std::min(change.max_delay, kRunningBatchDelay);
  } else if (ended && !job.gang() && !before.stop) {
    change.max_delay = std::min(change.max_delay, kTaskEndBatchDelay);
  } else {
    change.max_delay = Duration{0};
  }
}

void SliceReconciler::reconcile_gang(SliceChange& change, const SliceRecord& before,
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
  // The tasks of a gang complete together: when one task of an attempt that has run is done, all
  // tasks are done and have left their machines. An attempt may also be started again after its
  // end. Each task then reports the stored result as soon as its machine has the image, while other
  // tasks may still be fetching their images. Those tasks keep their machines until there is
  // evidence of termination.
  const bool attempt_has_run =
      std::any_of(before.tasks.begin(), before.tasks.end(),
                  [](const TaskRecord& task) { return task.running_since != WallTime{}; });
  change.max_delay = Duration{0};
  for (TaskRecord& task : tasks) {
    if (is_done(task)) continue;
    if (task.state == TaskState::bound && !attempt_has_run) {
      // The heartbeats of the other tasks are probably in flight.
      change.max_delay = kMachineBatchDelay;
      continue;
    }
    apply_task_end(task, job, TaskEndCause::completed, false, context_.clock.wall());
    change.changed = true;
  }
}

void SliceReconciler::reconcile_bound_task(const TaskId& id, TaskRecord& task, const JobSpec& job) {
  const auto& machines = context_.cache.records().machines;
  const auto machine = machines.find(task.machine_id);
  if (machine != machines.end() && machine->second.record.state == MachineState::gone) {
    end_task(id, task, job, TaskEndCause::machine_gone, false);
    return;
  }
  KnownWorker* worker = workers_.find(task.machine_id);
  if (worker == nullptr) return;
  const TaskAttempt attempt{id, task.attempt};
  const ReportedTask* reported = find_reported(worker->status, attempt);
  const bool must_not_run = task.stop || context_.cancellations.cancelled_at(id.job_id);
  switch (classify_presence(id, task, worker->status, shards_.token_of(task.zone))) {
    case TaskPresence::ended:
      end_task(id, task, job, reported->cause, reported->saved);
      break;
    case TaskPresence::lost:
      end_task(id, task, job, TaskEndCause::lease_expired, false);
      break;
    case TaskPresence::never_started:
      if (must_not_run) end_task(id, task, job, TaskEndCause::never_started, false);
      break;
    case TaskPresence::present:
      if (task.running_since == WallTime{} && reported->status == TaskStatus::running) {
        record_running(id, task, job, *worker);
      }
      break;
    case TaskPresence::not_reported:
      // A start sent to /orders may still arrive; only a higher fencing token rules it out.
      if (must_not_run && worker->status.direct_starts.contains(attempt)) {
        shards_.request_token_renewal(task.zone);
      }
      break;
  }
}

void SliceReconciler::record_running(const TaskId& id, TaskRecord& task, const JobSpec& job,
                                     KnownWorker& worker) {
  task.running_since = context_.clock.wall();
  record_image_use(task.machine_id, job, worker);
  spdlog::debug("shard_holder: task_running task={} attempt={} machine={}", id.str(),
                task.attempt.get(), task.machine_id.get());
}

void SliceReconciler::record_image_use(const MachineId& machine_id, const JobSpec& job,
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

void SliceReconciler::end_task(const TaskId& id, TaskRecord& task, const JobSpec& job,
                               TaskEndCause cause, bool checkpointed) {
  if (cause == TaskEndCause::failed && task.failure_count == 0)
    mark_machine_suspect(id, task.machine_id);
  spdlog::debug("shard_holder: task_ended task={} attempt={} machine={} cause={} checkpointed={}",
                id.str(), task.attempt.get(), task.machine_id.get(), name_of(cause), checkpointed);
  apply_task_end(task, job, cause, checkpointed, context_.clock.wall());
}

void SliceReconciler::mark_machine_suspect(const TaskId& failed_task, const MachineId& machine_id) {
  // Usually the machine is at fault, but a faulty job fails on every machine. The machine gets no
  // new tasks until the leader has decided whether the machine or the job is at fault, based on all
  // jobs that failed on the machine (autoscaler/failure_attribution.hpp). Failures of two faulty
  // jobs are no evidence against the machine.
  const auto& machines = context_.cache.records().machines;
  const auto machine = machines.find(machine_id);
  if (machine == machines.end()) return;
  const MachineState state = machine->second.record.state;
  // A suspect machine keeps the first job that failed on it. A machine that is already given up
  // keeps its state.
  if (state != MachineState::up && state != MachineState::silent) return;
  machines_.set_state(machine_id, MachineState::suspect, MachineStateReason::task_failed,
                      failed_task.job_id);
}

bool SliceReconciler::commit_due(const SliceKey& key, const SliceChange& change) {
  Duration max_delay = change.max_delay;
  if (change.slice.all_done() || context_.cache.write_slack() > kAmpleWriteSlack) {
    max_delay = Duration{0};
  }
  const SteadyTime now = context_.clock.steady();
  const SteadyTime since = deferred_since_.try_emplace(key, now).first->second;
  if (now - since < max_delay) return false;  // the sweep marks the slice dirty again
  deferred_since_.erase(key);
  context_.metrics.count(max_delay == Duration{0} ? "slices at once" : "slices gathered");
  return true;
}

Transaction SliceReconciler::make_transaction(const SliceKey& key,
                                              const SliceChange& change) const {
  const Records& records = context_.cache.records();
  const auto& job = records.jobs.at(key.job_id);
  Transaction txn;
  // The commit must fail if this holder was replaced or the job was cancelled in the meantime.
  for (const ZoneId& zone : change.zones) shards_.fence(txn, zone);
  txn.guard(keys::job(key.job_id), job.mod_revision);
  txn.guard(keys::slice(key.job_id, key.number),
            records.slice(key.job_id, key.number)->mod_revision);
  const JobSpec& spec = job.record.spec;
  const bool job_is_done = !spec.is_service() && slice_count(spec) == 1 && change.slice.all_done();
  if (job_is_done) {
    // The leader removes the slice and the guarantee when it has write budget to spare.
    txn.put(keys::final_job(key.job_id),
            encode(final_record(key.job_id, job.record), context_.cache.lasting_value_bytes()))
        .remove(keys::job(key.job_id));
  } else {
    txn.put(keys::slice(key.job_id, key.number),
            encode(change.slice, context_.cache.record_size()));
  }
  return txn;
}

FinalRecord SliceReconciler::final_record(const JobId& job_id, const JobRecord& job) const {
  const auto& guarantee_records = context_.cache.records().guarantee_records;
  FinalRecord record;
  record.job_id = job_id;
  // A confirmed cancellation is never contradicted, even if the tasks completed before they could
  // be stopped.
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

void SliceReconciler::mark_deferred_dirty(PendingWork& work) const {
  for (const auto& [key, since] : deferred_since_) work.mark_dirty(key);
}

}  // namespace marblevale
