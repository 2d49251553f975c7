/// Chooses the machine for a released task and binds the task to the current epoch of the machine's
/// worker.
#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "shards/shard_context.hpp"
#include "shards/worker_registry.hpp"

namespace marblevale {

/// Capacity allocated to tasks by a reconciliation that is not committed yet.
struct UncommittedAllocations {
  std::unordered_map<MachineId, Resources> by_machine;
};

/// Checks machines against the job's placement rules, their capacity and their reachability.
class TaskBinder {
 public:
  TaskBinder(const ShardContext& context, const WorkerRegistry& workers)
      : context_(context), workers_(workers) {}

  /// Binds the task at `index` in the caller's copy of the slice. A task for which there is no
  /// suitable machine stays released. After a time limit it becomes idle, so that the leader plans
  /// it again.
  void bind(SliceRecord& slice, std::size_t index, const JobSpec& job,
            UncommittedAllocations& uncommitted) const;

 private:
  /// Returns the machine that the leader chose, a substitute, or nothing when no machine is
  /// suitable.
  [[nodiscard]] std::optional<MachineId> choose_machine(
      const TaskRecord& task, const JobSpec& job, const UncommittedAllocations& uncommitted) const;
  [[nodiscard]] bool can_host(const MachineId& machine_id, const JobSpec& job,
                              const UncommittedAllocations& uncommitted) const;
  [[nodiscard]] bool accepts_new_tasks(const MachineId& machine_id,
                                       const MachineRecord& machine) const;
  [[nodiscard]] Resources free_capacity(const MachineId& machine_id, Resources total,
                                        const UncommittedAllocations& uncommitted) const;

  const ShardContext& context_;
  const WorkerRegistry& workers_;
};

}  // namespace marblevale
