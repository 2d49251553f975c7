/// Reconciles a slice's tasks with the workers' heartbeats: binds released tasks, ends tasks for
/// which there is evidence of termination, and commits the changes.
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

/// Stops the remaining tasks of a gang that has lost a task. Returns true when the slice was
/// changed.
bool stop_broken_gang(SliceRecord& slice);

/// Reconciles a slice's record with the workers' heartbeats and commits the difference. Some
/// changes are deferred, so that they share a write with other changes of their slice.
class SliceReconciler {
 public:
  SliceReconciler(const ShardContext& context, ShardOwnership& shards, WorkerRegistry& workers,
                  MachineRecorder& machines, const TaskBinder& binder, SliceCommits& commits);

  /// Reconciles the slice's tasks in held shards. Must not be called while a commit of the slice is
  /// in flight.
  void reconcile(const SliceKey& key);
  /// Marks the slices with deferred commits, because these become due without a change of any
  /// record.
  void mark_deferred_dirty(PendingWork& work) const;

 private:
  /// The uncommitted result of a reconciliation.
  struct SliceChange {
    SliceRecord slice;
    std::set<ZoneId> zones;  // zones whose tasks changed; their tokens fence the commit
    UncommittedAllocations uncommitted;
    bool changed = false;
    Duration max_delay{};  // maximum time to wait for other changes of the slice
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
  /// Returns false while the change may wait for other changes of its slice.
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
