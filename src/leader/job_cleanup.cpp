#include "leader/job_cleanup.hpp"

#include <utility>
#include <vector>

namespace marblevale {

namespace {
constexpr double kCancelledDeletionShare = 0.4;  // of `cancel_s`
constexpr Duration kUnrecordedMachineTimeout{20'000};
constexpr double kSweepSlack = 0.6;     // of the budget for writes
constexpr std::size_t kMaxLeft = 1000;  // records of ended jobs, after which the slack is not asked
}  // namespace

JobCleanup::JobCleanup(const Clock& clock, const Settings& settings, WatchCache& cache,
                       Election& election, Autoscaler& autoscaler)
    : clock_(clock),
      settings_(settings),
      cache_(cache),
      election_(election),
      autoscaler_(autoscaler) {}

void JobCleanup::begin_term() {
  ending_.clear();
  unrecorded_since_.clear();
  sweeping_ = false;
}

void JobCleanup::run() {
  std::vector<JobId> candidates;
  for (const auto& [job_id, job] : cache_.records().jobs) {
    if (job.record.cancelled || slice_count(job.record.spec) > 1) candidates.push_back(job_id);
    if (!job.record.cancelled) continue;
    const Duration since = clock_.wall() - *job.record.cancelled;
    if (since < scaled(settings_.workers.cancel, kCancelledDeletionShare)) continue;
    delete_machines_of_cancelled(job_id);
  }
  for (const JobId& job_id : candidates) end_if_over(job_id);
  delete_unrecorded_machines();
  sweep_leftovers();
}

void JobCleanup::end_all_finished() {
  std::vector<JobId> jobs;
  for (const auto& [job_id, job] : cache_.records().jobs) jobs.push_back(job_id);
  for (const JobId& job_id : jobs) end_if_over(job_id);
}

void JobCleanup::end_if_over(const JobId& job_id) {
  const auto& records = cache_.records();
  const Versioned<JobRecord>& job = records.jobs.at(job_id);
  std::uint32_t done = 0;
  bool placed = false;
  bool any_done = false;
  for (auto it = records.slices.lower_bound({job_id, 0});
       it != records.slices.end() && it->first.job_id == job_id; ++it) {
    if (it->second.record.all_done()) ++done;
    for (const TaskRecord& task : it->second.record.tasks) {
      placed = placed || task.placed();
      any_done = any_done || task.state == TaskState::done;
    }
  }
  // A gang completes together, but its slices are seen to end one by one, and what is lost after
  // the first was done is never started again: it is over once nothing of it is placed.
  const JobSpec& spec = job.record.spec;
  // A standing job leaves by its cancellation alone.
  const bool finished =
      !spec.endless() && (done == slice_count(spec) || (spec.gang() && any_done && !placed));
  // What this controller committed itself, as the cancellation, is here before the watch has told
  // what came before it: a binding, perhaps, of which this copy knows nothing yet.
  const bool known = cache_.revision().get() >= job.mod_revision.get();
  const bool cancelled = job.record.cancelled && known && !placed;
  if (finished || cancelled) commit_end(job_id, job);
}

void JobCleanup::commit_end(const JobId& job_id, const Versioned<JobRecord>& job) {
  if (!ending_.insert(job_id).second) return;
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
  // Its slices and its grant are swept up afterwards.
  txn.put(keys::final_job(job_id), encode(std::move(record), cache_.lasting_value_bytes()))
      .remove(keys::job(job_id));
  cache_.commit(RequestPriority::leader_commit, std::move(txn),
                [this, job_id](const CommitResult&) { ending_.erase(job_id); });
}

void JobCleanup::delete_machines_of_cancelled(const JobId& job_id) {
  // A cancelled task whose machine does not confirm its end: the machine is deleted in time.
  const auto& slices = cache_.records().slices;
  for (auto it = slices.lower_bound({job_id, 0}); it != slices.end() && it->first.job_id == job_id;
       ++it) {
    for (const TaskRecord& task : it->second.record.tasks) {
      if (task.state != TaskState::bound) continue;
      autoscaler_.request_deletion(task.machine_id, DeletionReason::holds_cancelled_task);
    }
  }
}

void JobCleanup::delete_unrecorded_machines() {
  // A task on a machine that no record knows: nobody could prove it gone but the cloud.
  const auto& records = cache_.records();
  const WallTime now = clock_.wall();
  std::set<MachineId> unrecorded;
  for (const auto& [machine_id, placed] : records.placed) {
    if (!records.machines.contains(machine_id)) unrecorded.insert(machine_id);
  }
  for (const MachineId& machine_id : unrecorded) {
    const WallTime since = unrecorded_since_.try_emplace(machine_id, now).first->second;
    if (now - since <= kUnrecordedMachineTimeout) continue;
    autoscaler_.request_deletion(machine_id, DeletionReason::has_tasks_but_no_record);
  }
  std::erase_if(unrecorded_since_,
                [&](const auto& entry) { return !unrecorded.contains(entry.first); });
}

void JobCleanup::sweep_leftovers() {
  // What is left of jobs that are over goes when there is budget to spare, or when it piles up.
  const auto& records = cache_.records();
  const std::size_t left = records.slices.size() + records.guarantee_records.size();
  const bool piled_up = left >= 2 * records.jobs.size() + kMaxLeft;
  if (sweeping_ || (cache_.write_slack() < kSweepSlack && !piled_up)) return;
  // It is over, and not only unknown here.
  const auto over = [&records](const JobId& job_id) {
    return !records.jobs.contains(job_id) && !records.unreadable.contains(keys::job(job_id));
  };
  Transaction txn;
  election_.guard(txn);
  for (const auto& [key, slice] : records.slices) {
    if (txn.deletes.size() >= cache_.max_operations()) break;
    if (!over(key.job_id)) continue;
    txn.guard(keys::job(key.job_id), ModRevision{});
    txn.guard(keys::slice(key.job_id, key.number), slice.mod_revision);
    txn.remove(keys::slice(key.job_id, key.number));
  }
  for (const auto& [job_id, guarantee_record] : records.guarantee_records) {
    if (txn.deletes.size() >= cache_.max_operations()) break;
    if (!over(job_id)) continue;
    txn.guard(keys::job(job_id), ModRevision{});
    txn.guard(keys::guarantee_record(job_id), guarantee_record.mod_revision)
        .remove(keys::guarantee_record(job_id));
  }
  if (txn.deletes.empty()) return;
  sweeping_ = true;
  cache_.commit(RequestPriority::record, std::move(txn),
                [this](const CommitResult&) { sweeping_ = false; });
}

}  // namespace marblevale
