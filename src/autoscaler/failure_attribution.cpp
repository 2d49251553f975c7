#include "autoscaler/failure_attribution.hpp"

namespace marblevale {

namespace {

/// A task that has run for longer than this on another machine did not cause its own failure.
constexpr Duration kHealthyRunTime{4'000};
/// After this time the cause is decided from what is known, even if it is unknown for some jobs.
constexpr Duration kAttributionTimeout{45'000};

enum class FailureCause { unknown, machine, job };

FailureCause failure_cause(const JobId& job_id, const MachineRecord& machine,
                           const Records& records, WallTime now) {
  bool failed_elsewhere = false;
  for (auto it = records.slices.lower_bound({job_id, 0});
       it != records.slices.end() && it->first.job_id == job_id; ++it) {
    for (const TaskRecord& task : it->second.record.tasks) {
      if (task.failure_count == 0) continue;
      const bool ran_long =
          task.running_since > machine.since && now - task.running_since > kHealthyRunTime;
      const bool runs_elsewhere = task.machine_id != machine.machine_id && ran_long;
      if (runs_elsewhere || task.state == TaskState::done) return FailureCause::machine;
      // A repeated failure on the suspect machine does not show that the job is the cause.
      failed_elsewhere = failed_elsewhere || task.failed_on != machine.machine_id;
    }
  }
  return failed_elsewhere ? FailureCause::job : FailureCause::unknown;
}

}  // namespace

std::map<MachineId, std::set<JobId>> failed_jobs_by_suspect(const Records& records) {
  std::map<MachineId, std::set<JobId>> failed_jobs;
  for (const auto& [machine_id, stored] : records.machines) {
    const MachineRecord& machine = stored.record;
    if (machine.state == MachineState::suspect) failed_jobs[machine_id].insert(machine.failed_job);
  }
  if (failed_jobs.empty()) return failed_jobs;
  for (const auto& [key, slice] : records.slices) {
    for (const TaskRecord& task : slice.record.tasks) {
      if (task.failure_count == 0) continue;
      const auto suspect = failed_jobs.find(task.failed_on);
      if (suspect != failed_jobs.end()) suspect->second.insert(key.job_id);
    }
  }
  return failed_jobs;
}

std::optional<MachineState> resolve_suspect_state(const MachineRecord& machine,
                                                  const std::set<JobId>& failed_jobs,
                                                  const Records& records, WallTime now) {
  bool caused_by_machine = false;
  std::size_t unattributed = 0;
  for (const JobId& job_id : failed_jobs) {
    const FailureCause cause = failure_cause(job_id, machine, records, now);
    caused_by_machine = caused_by_machine || cause == FailureCause::machine;
    unattributed += cause == FailureCause::unknown ? 1 : 0;
  }
  // If two or more of the failed jobs have run on no other machine, the machine is the likelier
  // cause.
  const bool timed_out = now - machine.since > kAttributionTimeout;
  if (caused_by_machine || (timed_out && unattributed > 1)) return MachineState::quarantined;
  if (unattributed == 0 || timed_out) return MachineState::up;
  return std::nullopt;
}

}  // namespace marblevale
