// Chooses the machine for a released task and binds the task to the worker's epoch there.
#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "shards/shard_context.hpp"
#include "shards/worker_registry.hpp"

namespace marblevale {

/// Room given to tasks that one decision binds, before it is committed.
struct PromisedRoom {
  std::unordered_map<MachineId, Resources> by_machine;
};

class TaskBinder {
 public:
  TaskBinder(const ShardContext& context, const WorkerRegistry& workers)
      : context_(context), workers_(workers) {}

  /// Binds the slice's task at `index` in the caller's copy. A task that finds no room stays
  /// released, and becomes idle after a while.
  void bind(SliceRecord& slice, std::size_t index, const JobSpec& job,
            PromisedRoom& promised) const;

 private:
  /// The machine that the leader meant, or one that stands in for it.
  [[nodiscard]] std::optional<MachineId> choose_machine(const TaskRecord& task, const JobSpec& job,
                                                        const PromisedRoom& promised) const;
  [[nodiscard]] bool can_take(const MachineId& machine_id, const JobSpec& job,
                              const PromisedRoom& promised) const;
  [[nodiscard]] bool accepts_work(const MachineId& machine_id, const MachineRecord& machine) const;
  [[nodiscard]] Resources free_room(const MachineId& machine_id, Resources whole,
                                    const PromisedRoom& promised) const;

  const ShardContext& context_;
  const WorkerRegistry& workers_;
};

}  // namespace marblevale
