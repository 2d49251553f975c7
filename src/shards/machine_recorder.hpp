// Keeps the machines' records in step with what their workers show.
#pragma once

#include "net/loop.hpp"
#include "protocol/worker.hpp"
#include "shards/shard_context.hpp"
#include "shards/shard_ownership.hpp"
#include "shards/worker_registry.hpp"
#include "store/machine_writer.hpp"

namespace marblevale {

/// Writes new machines, their states and images, as far as their shard is held. Changes that come
/// together are gathered, since machines come up in crowds.
class MachineRecorder {
 public:
  MachineRecorder(Loop& loop, const ShardContext& context, const ShardOwnership& shards,
                  WorkerRegistry& workers);

  /// Adds a machine that reports for the first time, or corrects its state by its heartbeat.
  void record_heartbeat(const WorkerHeartbeat& heartbeat, const KnownWorker& worker);
  /// `reason` goes to the log once the change is committed. `blamed`: the job whose task made the
  /// machine suspect.
  void set_state(const MachineId& machine_id, MachineState state, const char* reason,
                 JobId blamed = {});
  /// Marks the machines that stopped reporting.
  void mark_silent(SteadyTime now);
  /// Writes the images that were seen in use, while there is budget to spare.
  void write_images();
  /// Drops the changes that wait for the zone: they were an earlier holding's.
  void forget_zone(const ZoneId& zone) { writer_.forget(zone); }
  /// Commits what waits, unless a flush is due shortly anyway.
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
