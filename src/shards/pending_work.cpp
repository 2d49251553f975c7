#include "shards/pending_work.hpp"

#include <utility>

namespace marblevale {

SliceKey slice_of(const TaskId& id) { return {id.job_id, id.task_index / kSliceTasks}; }

void PendingWork::mark_job_dirty(const Records& records, const JobId& job_id) {
  for (auto it = records.slices.lower_bound({job_id, 0});
       it != records.slices.end() && it->first.job_id == job_id; ++it) {
    mark_slice_dirty(records, it->first);
  }
}

void PendingWork::mark_machine_dirty(const Records& records, const MachineId& machine_id) {
  const auto placed = records.placed.find(machine_id);
  if (placed == records.placed.end()) return;
  for (const auto& [id, attempt] : placed->second) mark_dirty(slice_of(id));
}

void PendingWork::mark_slice_dirty(const Records& records, const SliceKey& key) {
  mark_dirty(key);
  const auto* slice = records.slice(key.job_id, key.number);
  if (slice == nullptr) return;
  for (const TaskRecord& task : slice->record.tasks) {
    if (task.placed()) schedule_orders(task.machine_id);
  }
}

void PendingWork::schedule_round(Duration delay) {
  if (!round_timer_.pending()) round_timer_.start(delay);
}

std::set<SliceKey> PendingWork::take_dirty_slices() { return std::exchange(dirty_slices_, {}); }

std::set<MachineId> PendingWork::take_machines_awaiting_orders() {
  return std::exchange(machines_awaiting_orders_, {});
}

void PendingWork::clear() {
  dirty_slices_.clear();
  machines_awaiting_orders_.clear();
}

}  // namespace marblevale
