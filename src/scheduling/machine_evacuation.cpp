#include "scheduling/machine_evacuation.hpp"

namespace marblevale {

namespace {

constexpr Duration kCheckpointMargin{3'000};  // time left between the checkpoint and the reclaim
constexpr Duration kGraceMargin{2'000};
constexpr const char* kReclaimedReason = "the cloud takes its machine back";
constexpr const char* kGivenUpReason = "its machine is given up";

bool is_draining_or_quarantined(const MachineRecord& machine) {
  return machine.state == MachineState::quarantined || machine.state == MachineState::draining;
}

/// Adds the job's placed tasks that satisfy `must_leave` and are not being stopped already.
template <typename Predicate>
void add_tasks(Evacuation& out, const JobId& job_id, const Records& records,
               const Predicate& must_leave) {
  for_each_slice(records, job_id, [&](const Versioned<SliceRecord>& slice) {
    const auto& tasks = slice.record.tasks;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
      const bool leaves = tasks[i].placed() && !tasks[i].stop && must_leave(tasks[i]);
      if (leaves) out.tasks[slice.record.number].insert(i);
    }
  });
}

/// True when all replicas of the job are running and none is being stopped.
bool all_replicas_running(const JobSpec& job, const Records& records) {
  std::uint32_t placed = 0;
  for_each_slice(records, job.job_id, [&placed](const Versioned<SliceRecord>& slice) {
    for (const TaskRecord& task : slice.record.tasks) {
      if (task.placed() && !task.stop && task.running_since != WallTime{}) ++placed;
    }
  });
  return placed == job.task_count;
}

/// The jobs with tasks that have to leave machines that are reclaimed, drained or quarantined.
std::set<JobId> affected_jobs(const Records& records, WallTime now) {
  std::set<JobId> out;
  for (const auto& [machine_id, machine] : records.machines) {
    const bool is_reclaimed = machine.record.reclaim_at.has_value();
    if (!is_reclaimed && !is_draining_or_quarantined(machine.record)) continue;
    const auto placed = records.placed.find(machine_id);
    if (placed == records.placed.end()) continue;
    for (const auto& [id, attempt] : placed->second) {
      const JobRecord* job = records.job(id.job_id);
      if (job == nullptr || job->cancelled) continue;
      const bool due = is_reclaimed && job->spec.checkpoint_interval > Duration{0} &&
                       *machine.record.reclaim_at - now <= job->spec.save_time + kCheckpointMargin;
      if (due || job->spec.is_service()) out.insert(id.job_id);
    }
  }
  return out;
}

}  // namespace

std::map<JobId, Evacuation> find_evacuations(const Records& records, WallTime now) {
  std::map<JobId, Evacuation> out;
  const auto machine_of = [&records](const TaskRecord& task) -> const MachineRecord* {
    const auto machine = records.machines.find(task.machine_id);
    return machine == records.machines.end() ? nullptr : &machine->second.record;
  };
  const auto on_reclaimed_machine = [&](const TaskRecord& task) {
    const MachineRecord* machine = machine_of(task);
    return machine != nullptr && machine->reclaim_at;
  };
  const auto on_draining_or_quarantined = [&](const TaskRecord& task) {
    const MachineRecord* machine = machine_of(task);
    return machine != nullptr && is_draining_or_quarantined(*machine);
  };
  for (const JobId& job_id : affected_jobs(records, now)) {
    const JobSpec& spec = records.job(job_id)->spec;
    Evacuation evacuation{{}, spec.save_time + kGraceMargin, kReclaimedReason};
    add_tasks(evacuation, job_id, records,
              [&](const TaskRecord& task) { return spec.gang() || on_reclaimed_machine(task); });
    if (evacuation.tasks.empty() && spec.is_service() && all_replicas_running(spec, records)) {
      evacuation.reason = kGivenUpReason;
      bool chosen = false;
      add_tasks(evacuation, job_id, records, [&](const TaskRecord& task) {
        const bool first = !chosen && on_draining_or_quarantined(task);
        chosen = chosen || first;
        return first;
      });
    }
    if (!evacuation.tasks.empty()) out.emplace(job_id, std::move(evacuation));
  }
  return out;
}

}  // namespace marblevale
