/// Reconciliation of a slice's tasks with the workers' heartbeats: binding of released tasks, ends
/// with evidence of termination, and the commit of the changes.
#pragma once

#include <map>
#include <set>

#include "shards/machine_recorder.hpp"
#include "shards/shard_context.hpp"
#include "shards/shard_ownership.hpp"
#include "shards/slice_commits.hpp"
#include "shards/task_binder.hpp"
#include "shards/worker_registry.hpp"

namespace marblevale {

/// Stops the remaining tasks of a gang that lost one; true when that changed the slice.
bool stop_broken_gang(SliceRecord& slice);

/// Reconciles a slice's record with the workers' heartbeats and commits the difference. Owns the
/// deferral of changes that wait for others of their slice, so that they share a write.
class SliceReconciler {
 public:
  SliceReconciler(const ShardContext& context, ShardOwnership& shards, WorkerRegistry& workers,
                  MachineRecorder& machines, const TaskBinder& binder, SliceCommits& commits);

  /// Reconciles the slice's tasks in held shards. No commit of the slice may be in flight.
  void reconcile(const SliceKey& key);
  /// Marks the slices with deferred commits, which become due by the passage of time.
  void mark_deferred_dirty(PendingWork& work) const;

 private:
  /// The uncommitted result of a reconciliation.
  struct SliceChange {
    SliceRecord slice;
    std::set<ZoneId> zones;  // whose tasks changed: the commit is fenced by their tokens
    UncommittedAllocations uncommitted;
    bool changed = false;
    Duration max_delay{};  // how long the change may wait for others of its slice
  };

  void reconcile_task(SliceChange& change, std::size_t index, const JobRecord& job, bool cancelled);
  static void record_task_change(SliceChange& change, const TaskRecord& before,
                                 const TaskRecord& after, const JobSpec& job);
  void reconcile_gang(SliceChange& change, const SliceRecord& before, const JobSpec& job) const;
  void reconcile_bound_task(const TaskId& id, TaskRecord& task, const JobSpec& job);
  void record_running(const TaskId& id, TaskRecord& task, const JobSpec& job, KnownWorker& worker);
  void record_image_use(const MachineId& machine_id, const JobSpec& job, KnownWorker& worker) const;
  void end_task(const TaskId& id, TaskRecord& task, const JobSpec& job, TaskEndCause cause,
                bool checkpointed);
  void mark_machine_suspect(const TaskId& failed_task, const MachineId& machine_id);
  /// False while the change may wait for others of its slice.
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
