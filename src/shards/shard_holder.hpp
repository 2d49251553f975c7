/// A shard's holder: answers its workers' heartbeats, binds released tasks, sends orders, and
/// commits what the heartbeats prove.
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
/// slices) and sweeps (periodic checks of what changes by the passage of time).
class ShardHolder {
 public:
  ShardHolder(Loop& loop, const Clock& clock, const Settings& settings, WatchCache& cache,
              Election& election, OrderSender& orders, Cancellations& cancellations);

  void begin();
  HeartbeatReply handle_heartbeat(std::string_view body) { return heartbeats_.handle(body); }
  /// Binds the tasks that the leader offers; see `ReleaseOfferHandler::answer`.
  OfferAnswer answer_offer(const ReleaseOffer& offer) { return offers_.answer(offer); }

  /// Zones whose workers keep returning here though another controller holds the shard.
  [[nodiscard]] std::vector<ZoneId> misrouted_zones();
  /// Zones that are held here while none of their machines is reachable: partitioned, or just
  /// acquired.
  [[nodiscard]] std::set<ZoneId> unreachable_zones() const { return workers_.unreachable_zones(); }
  /// A peer's heartbeat shows that the job is cancelled.
  void on_job_cancelled(const JobId& job_id);
  /// Machines to delete, since there is no evidence that their cancelled tasks have terminated in
  /// time.
  [[nodiscard]] std::vector<MachineId> machines_past_cancellation_deadline() const {
    return deadlines_.machines_past_deadline(workers_);
  }
  /// Up to `until` every confirmed cancellation is known here, by the attestation of all peers.
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
  /// Marks released and stopped tasks, which may become due without a change of any record.
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
  SliceKey last_reconciled_;  // the next round continues after it
  Timer sweep_timer_;
};

}  // namespace marblevale
