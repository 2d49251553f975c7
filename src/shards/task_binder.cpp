#include "shards/task_binder.hpp"

#include <spdlog/spdlog.h>

#include "scheduling/profile.hpp"

namespace marblevale {

namespace {

/// Maximum time that a released task waits for capacity. A heartbeat of the chosen machine, or the
/// end of a task on it, may be about to arrive.
constexpr Duration kMaxCapacityWait{3'000};

bool satisfies_placement_rules(const JobSpec& job, const MachineRecord& machine,
                               const MachineType& type) {
  PlanMachine candidate;
  candidate.machine_type = machine.machine_type;
  candidate.zone = machine.zone;
  candidate.spot = machine.spot;
  candidate.resources = type.resources;
  return Profile::allowed(job, candidate);
}

}  // namespace

bool TaskBinder::accepts_new_tasks(const MachineId& machine_id,
                                   const MachineRecord& machine) const {
  const KnownWorker* worker = workers_.find(machine_id);
  if (worker == nullptr) return false;
  if (machine.state != MachineState::up || worker->reclaim_at) return false;
  // Tasks are bound only to a machine with evidence, under a fencing token of this holder, that
  // commands reach it. A silent machine gets no tasks, because its lease expires.
  return worker->status.epoch != WorkerEpoch{} && !workers_.is_silent(machine_id) &&
         worker->reachability.reachable();
}

Resources TaskBinder::free_capacity(const MachineId& machine_id, Resources total,
                                    const UncommittedAllocations& uncommitted) const {
  const Records& records = context_.cache.records();
  Resources free = total;
  if (const auto placed = records.placed.find(machine_id); placed != records.placed.end()) {
    for (const auto& [id, attempt] : placed->second) {
      const TaskRecord* task = records.task(id);
      const JobRecord* job = records.job(id.job_id);
      if (task == nullptr || job == nullptr || task->state != TaskState::bound) continue;
      free -= job->spec.need;
    }
  }
  const auto allocated = uncommitted.by_machine.find(machine_id);
  if (allocated != uncommitted.by_machine.end()) free -= allocated->second;
  return free;
}

bool TaskBinder::can_host(const MachineId& machine_id, const JobSpec& job,
                          const UncommittedAllocations& uncommitted) const {
  const Records& records = context_.cache.records();
  const auto machine = records.machines.find(machine_id);
  if (machine == records.machines.end()) return false;
  if (!accepts_new_tasks(machine_id, machine->second.record)) return false;
  const MachineType* type = records.type(machine->second.record.machine_type);
  if (type == nullptr || !satisfies_placement_rules(job, machine->second.record, *type))
    return false;
  return fits(job.need, free_capacity(machine_id, type->resources, uncommitted));
}

std::optional<MachineId> TaskBinder::choose_machine(
    const TaskRecord& task, const JobSpec& job, const UncommittedAllocations& uncommitted) const {
  if (can_host(task.machine_id, job, uncommitted)) return task.machine_id;
  // Capacity that the leader has reserved for other tasks must stay free. Therefore only a machine
  // without placed tasks may substitute for a machine that has become unsuitable.
  const Records& records = context_.cache.records();
  for (const auto& [machine_id, machine] : records.machines) {
    if (machine.record.zone != task.zone || records.placed.contains(machine_id)) continue;
    if (can_host(machine_id, job, uncommitted)) return machine_id;
  }
  return std::nullopt;
}

void TaskBinder::bind(SliceRecord& slice, std::size_t index, const JobSpec& job,
                      UncommittedAllocations& uncommitted) const {
  TaskRecord& task = slice.tasks[index];
  const auto machine_id = choose_machine(task, job, uncommitted);
  const WallTime now = context_.clock.wall();
  if (!machine_id) {
    if (now - task.since < kMaxCapacityWait) return;
    spdlog::info("shard_holder: binding_abandoned task={}/{} machine={} reason=no_capacity",
                 slice.job_id.get(), slice.first_task_index() + index, task.machine_id.get());
    task.state = TaskState::idle;
    task.zone = ZoneId{};
    task.machine_id = MachineId{};
    task.since = now;
    return;
  }
  uncommitted.by_machine[*machine_id] += job.need;
  task.state = TaskState::bound;
  task.machine_id = *machine_id;
  task.epoch = workers_.find(*machine_id)->status.epoch;
  task.since = now;
}

}  // namespace marblevale
