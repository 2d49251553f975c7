/// A shard's holder: answers its workers' heartbeats, binds released tasks, sends orders, and
/// commits the changes that the heartbeats prove.
#pragma once

#include <set>
#include <string_view>
#include <vector>

#include "shards/cancellation_deadlines.hpp"
#include "shards/heartbeat_handler.hpp"
#include "shards/machine_recorder.hpp"
#include "shards/misrouted_heartbeats.hpp"
#include "shards/order_delivery.hpp"
#include "shards/pending_work.hpp"
#include "shards/release_offer_handler.hpp"
#include "shards/shard_context.hpp"
#include "shards/shard_ownership.hpp"
#include "shards/slice_commits.hpp"
#include "shards/slice_reconciler.hpp"
#include "shards/task_binder.hpp"
#include "shards/worker_registry.hpp"

namespace marblevale {

/// Connects the parts that own the holder's state, and runs its rounds (reconciliation of dirty
/// slices) and sweeps (periodic checks of conditions that change with time).
class ShardHolder {
 public:
  ShardHolder(Loop& loop, const Clock& clock, const Settings& settings, WatchCache& cache,
              Election& election, OrderSender& orders, Cancellations& cancellations);

  void begin();
  HeartbeatReply handle_heartbeat(std::string_view body) { return heartbeats_.handle(body); }
  /// Binds the tasks that the leader offers; see `ReleaseOfferHandler::answer`.
  OfferAnswer answer_offer(const ReleaseOffer& offer) { return offers_.answer(offer); }

  /// Returns the zones whose workers keep returning to this controller although another controller
  /// holds the shard.
  [[nodiscard]] std::vector<ZoneId> misrouted_zones();
  /// Returns the held zones in which no machine is reachable: either the zone is partitioned, or
  /// its shard was just acquired.
  [[nodiscard]] std::set<ZoneId> unreachable_zones() const { return workers_.unreachable_zones(); }
  /// Called when a peer's heartbeat shows that the job is cancelled.
  void on_job_cancelled(const JobId& job_id);
  /// Returns the machines that must be deleted because there is no evidence that their cancelled
  /// tasks have terminated in time.
  [[nodiscard]] std::vector<MachineId> machines_past_cancellation_deadline() const {
    return deadlines_.machines_past_deadline(workers_);
  }
  /// The tasks in the last heartbeats of the known workers.
  [[nodiscard]] std::size_t reported_tasks() const { return workers_.reported_tasks(); }
  /// Records that all peers have attested that every cancellation confirmed up to `until` is known
  /// to this controller.
  void extend_cancellation_freshness(SteadyTime until) { deadlines_.extend_freshness(until); }

 private:
  [[nodiscard]] ShardEvents shard_events();
  void on_shard_acquired(const ZoneId& zone);
  void on_shard_lost(const ZoneId& zone);
  void on_record_changed(RecordKind kind, const std::string& key);
  void run_round();
  void reconcile_dirty_slices();
  /// Reconciles the slices of service jobs and removes them from the batch.
  void reconcile_service_slices(std::set<SliceKey>& batch, SteadyTime until);
  void sweep();
  void check_reachability();
  void check_heartbeats_reachable(const MachineId& machine_id, KnownWorker& worker);
  void check_commands_reachable(const MachineId& machine_id, KnownWorker& worker);
  /// Marks the slices of released and stopped tasks, and schedules orders to their machines and to
  /// those of cancelled tasks. Their bindings and orders may become due without a change of any
  /// record.
  void mark_unfinished_transitions_dirty();

  ShardContext context_;
  PendingWork work_;
  ShardOwnership shards_;
  MisroutedHeartbeats misrouted_;
  WorkerRegistry workers_;
  CancellationDeadlines deadlines_;
  MachineRecorder machines_;
  TaskBinder binder_;
  SliceCommits commits_;
  ReleaseOfferHandler offers_;
  SliceReconciler reconciler_;
  OrderDelivery orders_;
  HeartbeatHandler heartbeats_;
  SliceKey last_reconciled_;  // the next round continues after this slice
  Timer sweep_timer_;
};

}  // namespace marblevale
