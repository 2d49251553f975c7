/// Keeps the machines' records up to date with their workers' heartbeats.
#pragma once

#include "net/loop.hpp"
#include "protocol/worker.hpp"
#include "shards/shard_context.hpp"
#include "shards/shard_ownership.hpp"
#include "shards/worker_registry.hpp"
#include "store/machine_writer.hpp"

namespace marblevale {

/// The reason for a change of a machine's state; it is only logged.
enum class MachineStateReason {
  reclaim_announced,
  heartbeats_resumed,
  heartbeats_missing,
  commands_unreachable,
  task_failed
};

/// Writes new machines, their states and images, while their shard is held. Changes are batched,
/// since machines start in large groups.
class MachineRecorder {
 public:
  MachineRecorder(Loop& loop, const ShardContext& context, const ShardOwnership& shards,
                  WorkerRegistry& workers);

  /// Adds a machine at its first heartbeat, or updates its state at a later heartbeat.
  void record_heartbeat(const WorkerHeartbeat& heartbeat, const KnownWorker& worker);
  /// Changes the machine's state. `reason` is logged once the change is committed. `failed_job` is
  /// the job whose failed task made the machine suspect.
  void set_state(const MachineId& machine_id, MachineState state, MachineStateReason reason,
                 JobId failed_job = {});
  /// Marks the machines whose heartbeats are missing as silent, except in a zone without any
  /// heartbeats.
  void mark_silent(SteadyTime now);
  /// Writes the cached images that were seen in use, while the write budget has ample slack.
  void write_images();
  /// Drops the zone's pending changes, because they were decided under an earlier ownership.
  void forget_zone(const ZoneId& zone) { writer_.discard_edits(zone); }
  /// Commits the pending changes, unless a flush is already scheduled.
  void flush_if_idle();

 private:
  void add_machine(const WorkerHeartbeat& heartbeat, const KnownWorker& worker);
  void schedule_flush();

  const ShardContext& context_;
  const ShardOwnership& shards_;
  WorkerRegistry& workers_;
  MachineWriter writer_;
  Timer flush_timer_;
};

}  // namespace marblevale
