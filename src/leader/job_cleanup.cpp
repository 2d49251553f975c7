#include "leader/job_cleanup.hpp"

#include <utility>
#include <vector>

namespace marblevale {

namespace {
/// Share of the configured cancellation time (`cancel_s`) after which the machines that still hold
/// the tasks are deleted.
constexpr double kCancelledDeletionShare = 0.4;
constexpr Duration kUnrecordedMachineTimeout{20'000};
/// Leftover records are removed only while at least this share of the write budget is unused.
constexpr double kMinRemovalWriteSlack = 0.6;
/// When the slices and guarantee records exceed two for each live job by this number, leftovers are
/// removed even while the write budget is low.
constexpr std::size_t kMaxLeftovers = 1000;
}  // namespace

JobCleanup::JobCleanup(const Clock& clock, const Settings& settings, WatchCache& cache,
                       Election& election, Autoscaler& autoscaler)
    : clock_(clock),
      settings_(settings),
      cache_(cache),
      election_(election),
      autoscaler_(autoscaler) {}

void JobCleanup::begin_term() {
  end_commits_in_flight_.clear();
  unrecorded_since_.clear();
  removal_in_flight_ = false;
}

void JobCleanup::run() {
  std::vector<JobId> candidates;
  for (const auto& [job_id, job] : cache_.records().jobs) {
    if (job.record.cancelled || slice_count(job.record.spec) > 1) candidates.push_back(job_id);
    if (!job.record.cancelled) continue;
    const Duration time_since_cancelled = clock_.wall() - *job.record.cancelled;
    if (time_since_cancelled < scaled(settings_.workers.cancel, kCancelledDeletionShare)) continue;
    delete_machines_of_cancelled(job_id);
  }
  for (const JobId& job_id : candidates) end_if_finished(job_id);
  delete_unrecorded_machines();
  remove_leftovers();
}

void JobCleanup::end_all_finished() {
  std::vector<JobId> jobs;
  for (const auto& [job_id, job] : cache_.records().jobs) jobs.push_back(job_id);
  for (const JobId& job_id : jobs) end_if_finished(job_id);
}

void JobCleanup::end_if_finished(const JobId& job_id) {
  const Versioned<JobRecord>& job = cache_.records().jobs.at(job_id);
  if (is_finished(job_id, job)) commit_end(job_id, job);
}

bool JobCleanup::is_finished(const JobId& job_id, const Versioned<JobRecord>& job) const {
  // Tasks that this version can't read may be placed.
  if (cache_.records().has_unreadable_slice(job_id)) return false;
  std::uint32_t slices_done = 0;
  bool any_placed = false;
  bool any_done = false;
  for_each_slice(cache_.records(), job_id, [&](const Versioned<SliceRecord>& slice) {
    if (slice.record.all_done()) ++slices_done;
    for (const TaskRecord& task : slice.record.tasks) {
      any_placed = any_placed || task.placed();
      any_done = any_done || task.state == TaskState::done;
    }
  });
  if (job.record.cancelled) {
    // The watch cache shows this controller's own commit of the cancellation before the watch has
    // delivered earlier commits of others, such as a binding. The job may end only once the cache
    // has reached the job's revision.
    const bool observed = cache_.revision().get() >= job.mod_revision.get();
    if (observed && !any_placed) return true;
  }
  const JobSpec& spec = job.record.spec;
  // A service job ends only when it is cancelled.
  if (spec.is_service()) return false;
  // The tasks of a gang complete together, but the ends of its slices are recorded one by one. A
  // task that is lost after the first task was done is never started again, so the gang has ended
  // once none of its tasks is placed.
  return slices_done == slice_count(spec) || (spec.gang() && any_done && !any_placed);
}

void JobCleanup::commit_end(const JobId& job_id, const Versioned<JobRecord>& job) {
  if (!end_commits_in_flight_.insert(job_id).second) return;
  FinalRecord record;
  record.job_id = job_id;
  record.state = job.record.cancelled ? FinalState::cancelled : FinalState::done;
  record.task_count = job.record.spec.task_count;
  record.accepted = job.record.accepted;
  record.ended = clock_.wall();
  const auto& guarantee_records = cache_.records().guarantee_records;
  if (const auto guarantee_record = guarantee_records.find(job_id);
      guarantee_record != guarantee_records.end()) {
    record.notes = guarantee_record->second.record.notes;
  }
  Transaction txn;
  election_.guard(txn);
  txn.guard(keys::job(job_id), job.mod_revision);
  // The slices and the guarantee record are removed later, by `remove_leftovers`.
  txn.put(keys::final_job(job_id), encode(std::move(record), cache_.lasting_value_bytes()))
      .remove(keys::job(job_id));
  cache_.commit(RequestPriority::leader_commit, std::move(txn),
                [this, job_id](const CommitResult&) { end_commits_in_flight_.erase(job_id); });
}

void JobCleanup::delete_machines_of_cancelled(const JobId& job_id) {
  for_each_slice(cache_.records(), job_id, [this](const Versioned<SliceRecord>& slice) {
    for (const TaskRecord& task : slice.record.tasks) {
      if (task.state != TaskState::bound) continue;
      autoscaler_.request_deletion(task.machine_id, DeletionReason::holds_cancelled_task);
    }
  });
}

void JobCleanup::delete_unrecorded_machines() {
  // On a machine without a record only the machine's deletion by the cloud proves that its tasks
  // have ended.
  const auto& records = cache_.records();
  const WallTime now = clock_.wall();
  std::set<MachineId> unrecorded;
  for (const auto& [machine_id, placed] : records.placed) {
    if (!records.machines.contains(machine_id)) unrecorded.insert(machine_id);
  }
  for (const MachineId& machine_id : unrecorded) {
    const WallTime first_seen = unrecorded_since_.try_emplace(machine_id, now).first->second;
    if (now - first_seen <= kUnrecordedMachineTimeout) continue;
    autoscaler_.request_deletion(machine_id, DeletionReason::has_tasks_but_no_record);
  }
  std::erase_if(unrecorded_since_,
                [&](const auto& entry) { return !unrecorded.contains(entry.first); });
}

void JobCleanup::remove_leftovers() {
  const auto& records = cache_.records();
  const std::size_t record_count = records.slices.size() + records.guarantee_records.size();
  const bool too_many_leftovers = record_count >= 2 * records.jobs.size() + kMaxLeftovers;
  if (removal_in_flight_ || (cache_.write_slack() < kMinRemovalWriteSlack && !too_many_leftovers))
    return;
  // A job whose record this version can't read has not ended.
  const auto has_ended = [&records](const JobId& job_id) {
    return !records.jobs.contains(job_id) && !records.unreadable.contains(keys::job(job_id));
  };
  Transaction txn;
  election_.guard(txn);
  for (const auto& [key, slice] : records.slices) {
    if (txn.deletes.size() >= cache_.max_operations()) break;
    if (!has_ended(key.job_id)) continue;
    txn.guard(keys::job(key.job_id), ModRevision{});
    txn.guard(keys::slice(key.job_id, key.number), slice.mod_revision);
    txn.remove(keys::slice(key.job_id, key.number));
  }
  for (const auto& [job_id, guarantee_record] : records.guarantee_records) {
    if (txn.deletes.size() >= cache_.max_operations()) break;
    if (!has_ended(job_id)) continue;
    txn.guard(keys::job(job_id), ModRevision{});
    txn.guard(keys::guarantee_record(job_id), guarantee_record.mod_revision)
        .remove(keys::guarantee_record(job_id));
  }
  if (txn.deletes.empty()) return;
  removal_in_flight_ = true;
  cache_.commit(RequestPriority::best_effort, std::move(txn),
                [this](const CommitResult&) { removal_in_flight_ = false; });
}

}  // namespace marblevale
