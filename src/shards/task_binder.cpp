#include "shards/task_binder.hpp"

#include <spdlog/spdlog.h>

#include "scheduling/profile.hpp"

namespace marblevale {

namespace {

// The machine that the leader meant may be about to heartbeat; its room may be about to show.
constexpr Duration kMaxRoomWait{3'000};

bool rules_allow(const JobSpec& job, const MachineRecord& machine, const MachineType& type) {
  PlanMachine candidate;
  candidate.machine_type = machine.machine_type;
  candidate.zone = machine.zone;
  candidate.spot = machine.spot;
  candidate.resources = type.resources;
  return Profile::allowed(job, candidate);
}

}  // namespace

bool TaskBinder::accepts_work(const MachineId& machine_id, const MachineRecord& machine) const {
  const KnownWorker* worker = workers_.find(machine_id);
  if (worker == nullptr) return false;
  if (machine.state != MachineState::up || worker->reclaim_at) return false;
  // Nothing is bound to a machine that has not shown, under a fencing token of ours, that commands
  // reach it, nor to one that does not heartbeat: its lease lapses.
  return worker->view.epoch != WorkerEpoch{} && !workers_.is_silent(machine_id) &&
         worker->reachability.reachable();
}

Resources TaskBinder::free_room(const MachineId& machine_id, Resources whole,
                                const PromisedRoom& promised) const {
  const Records& records = context_.cache.records();
  Resources free = whole;
  if (const auto placed = records.placed.find(machine_id); placed != records.placed.end()) {
    for (const auto& [id, attempt] : placed->second) {
      const TaskRecord* task = records.task(id);
      const JobRecord* job = records.job(id.job_id);
      if (task == nullptr || job == nullptr || task->state != TaskState::bound) continue;
      free -= job->spec.need;
    }
  }
  const auto given = promised.by_machine.find(machine_id);
  if (given != promised.by_machine.end()) free -= given->second;
  return free;
}

bool TaskBinder::can_take(const MachineId& machine_id, const JobSpec& job,
                          const PromisedRoom& promised) const {
  const Records& records = context_.cache.records();
  const auto machine = records.machines.find(machine_id);
  if (machine == records.machines.end()) return false;
  if (!accepts_work(machine_id, machine->second.record)) return false;
  const MachineType* type = records.type(machine->second.record.machine_type);
  if (type == nullptr || !rules_allow(job, machine->second.record, *type)) return false;
  return fits(job.need, free_room(machine_id, type->resources, promised));
}

std::optional<MachineId> TaskBinder::choose_machine(const TaskRecord& task, const JobSpec& job,
                                                    const PromisedRoom& promised) const {
  if (can_take(task.machine_id, job, promised)) return task.machine_id;
  // Room that the leader promised to others must stay: only a machine with nothing released on it
  // may stand in for one that has become unfit.
  const Records& records = context_.cache.records();
  for (const auto& [machine_id, machine] : records.machines) {
    if (machine.record.zone != task.zone || records.placed.contains(machine_id)) continue;
    if (can_take(machine_id, job, promised)) return machine_id;
  }
  return std::nullopt;
}

void TaskBinder::bind(SliceRecord& slice, std::size_t index, const JobSpec& job,
                      PromisedRoom& promised) const {
  TaskRecord& task = slice.tasks[index];
  const auto machine_id = choose_machine(task, job, promised);
  const WallTime now = context_.clock.wall();
  if (!machine_id) {
    if (now - task.since < kMaxRoomWait) return;
    spdlog::info("holder: no room for {}/{} on {}: given back", slice.job_id.get(),
                 slice.first_task_index() + index, task.machine_id.get());
    task.state = TaskState::idle;
    task.zone = ZoneId{};
    task.machine_id = MachineId{};
    task.since = now;
    return;
  }
  promised.by_machine[*machine_id] += job.need;
  task.state = TaskState::bound;
  task.machine_id = *machine_id;
  task.epoch = workers_.find(*machine_id)->view.epoch;
  task.since = now;
}

}  // namespace marblevale
