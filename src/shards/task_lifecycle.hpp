// What becomes of the tasks of a slice: bindings, ends by proof, and the commit of the changes.
#pragma once

#include <map>
#include <set>
#include <string>

#include "shards/machine_recorder.hpp"
#include "shards/shard_context.hpp"
#include "shards/shard_ownership.hpp"
#include "shards/slice_commits.hpp"
#include "shards/task_binder.hpp"
#include "shards/worker_registry.hpp"

namespace marblevale {

/// Stops what is left of a gang that lost a task; true when that changed the slice.
bool stop_broken_gang(SliceRecord& slice);

/// Decides a slice from the records and the workers' reports, and commits what changed. Owns the
/// changes that wait for others of their slice, so that they share a write.
class TaskLifecycle {
 public:
  TaskLifecycle(const ShardContext& context, ShardOwnership& shards, WorkerRegistry& workers,
                MachineRecorder& machines, const TaskBinder& binder, SliceCommits& commits);

  /// Decides the slice's tasks of held shards. No commit of the slice may be on its way.
  void decide_slice(const SliceKey& key);
  /// The slices with deferred commits have to be decided again from time to time.
  void mark_deferred_dirty(PendingWork& work) const;

 private:
  /// A decision about a slice, while it is made.
  struct SliceChange {
    SliceRecord slice;
    std::set<ZoneId> zones;  // whose tasks changed
    PromisedRoom promised;
    bool changed = false;
    Duration max_delay{};  // how long the change may wait for others of its slice
  };

  void decide_task(SliceChange& change, std::size_t index, const JobRecord& job, bool cancelled);
  static void note_task_change(SliceChange& change, const TaskRecord& before,
                               const TaskRecord& after, const JobSpec& job);
  void decide_gang(SliceChange& change, const SliceRecord& before, const JobSpec& job) const;
  void judge_bound_task(const TaskId& id, TaskRecord& task, const JobSpec& job);
  void record_running(const TaskId& id, TaskRecord& task, const JobSpec& job, KnownWorker& worker);
  void note_image_use(const MachineId& machine_id, const JobSpec& job, KnownWorker& worker) const;
  void end_task(const TaskId& id, TaskRecord& task, const JobSpec& job, const std::string& cause,
                bool saved);
  void suspect_machine(const TaskId& id, const MachineId& machine_id);
  /// False while the change waits for others.
  bool commit_due(const SliceKey& key, const SliceChange& change);
  [[nodiscard]] Transaction make_transaction(const SliceKey& key, const SliceChange& change) const;
  [[nodiscard]] FinalRecord final_record(const JobId& job_id, const JobRecord& job) const;

  const ShardContext& context_;
  ShardOwnership& shards_;
  WorkerRegistry& workers_;
  MachineRecorder& machines_;
  const TaskBinder& binder_;
  SliceCommits& commits_;
  std::map<SliceKey, SteadyTime> deferred_since_;
};

}  // namespace marblevale
