#include "autoscaler/suspect_machines.hpp"

namespace marblevale {

namespace {

constexpr Duration kProvenRun{4'000};   // a task that ran this long elsewhere is not at fault
constexpr Duration kSuspicion{45'000};  // after it a verdict is given on what is known

enum class FailureCause { unknown, machine, job };

FailureCause failure_cause(const JobId& job_id, const MachineRecord& machine,
                           const Records& records, WallTime now) {
  bool failed_elsewhere = false;
  for (auto it = records.slices.lower_bound({job_id, 0});
       it != records.slices.end() && it->first.job_id == job_id; ++it) {
    for (const TaskRecord& task : it->second.record.tasks) {
      if (task.faults == 0) continue;
      const bool lasted = task.running > machine.since && now - task.running > kProvenRun;
      const bool runs_elsewhere = task.machine_id != machine.machine_id && lasted;
      if (runs_elsewhere || task.state == TaskState::done) return FailureCause::machine;
      // Failing again on this machine, or beside it, says nothing for the machine.
      failed_elsewhere = failed_elsewhere || task.failed_on != machine.machine_id;
    }
  }
  return failed_elsewhere ? FailureCause::job : FailureCause::unknown;
}

}  // namespace

std::map<MachineId, std::set<JobId>> failed_jobs_of_suspects(const Records& records) {
  std::map<MachineId, std::set<JobId>> failed_jobs;
  for (const auto& [machine_id, stored] : records.machines) {
    const MachineRecord& machine = stored.record;
    if (machine.state == MachineState::suspect) failed_jobs[machine_id].insert(machine.blamed);
  }
  if (failed_jobs.empty()) return failed_jobs;
  for (const auto& [key, slice] : records.slices) {
    for (const TaskRecord& task : slice.record.tasks) {
      if (task.faults == 0) continue;
      const auto suspect = failed_jobs.find(task.failed_on);
      if (suspect != failed_jobs.end()) suspect->second.insert(key.job_id);
    }
  }
  return failed_jobs;
}

std::optional<MachineState> verdict_on_suspect(const MachineRecord& machine,
                                               const std::set<JobId>& failed_jobs,
                                               const Records& records, WallTime now) {
  bool proven_faulty = false;
  std::size_t unexplained = 0;
  for (const JobId& job_id : failed_jobs) {
    const FailureCause cause = failure_cause(job_id, machine, records, now);
    proven_faulty = proven_faulty || cause == FailureCause::machine;
    unexplained += cause == FailureCause::unknown ? 1 : 0;
  }
  // Where two jobs failed of which nothing is heard from elsewhere, the machine is the likelier
  // cause.
  const bool overdue = now - machine.since > kSuspicion;
  if (proven_faulty || (overdue && unexplained > 1)) return MachineState::quarantined;
  if (unexplained == 0 || overdue) return MachineState::up;
  return std::nullopt;
}

}  // namespace marblevale
