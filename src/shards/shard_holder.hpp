// A shard's holder: answers its workers' reports, binds released tasks, sends orders, and commits
// what the reports prove.
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
#include "shards/release_offers.hpp"
#include "shards/shard_context.hpp"
#include "shards/shard_ownership.hpp"
#include "shards/slice_commits.hpp"
#include "shards/task_binder.hpp"
#include "shards/task_lifecycle.hpp"
#include "shards/worker_registry.hpp"

namespace marblevale {

/// Connects the parts that own the holder's state, and runs its rounds (decisions that are due) and
/// sweeps (what only time changes).
class ShardHolder {
 public:
  ShardHolder(Loop& loop, const Clock& clock, const Settings& settings, WatchCache& cache,
              Election& election, OrderSender& orders, Cancellations& cancellations);

  void begin();
  HeartbeatReply handle_heartbeat(std::string_view body) { return heartbeats_.handle(body); }
  /// Binds what the leader offers (see `ReleaseOffers::accept`); false: nothing was committed, and
  /// nothing will be.
  bool accept_offer(const ReleaseOffer& offer) { return offers_.accept(offer); }

  /// Zones whose workers come here again and again though another controller holds the shard.
  [[nodiscard]] std::vector<ZoneId> misrouted_zones();
  /// Zones that are held here while none of their machines reports: cut off, or not met yet.
  [[nodiscard]] std::set<ZoneId> unreachable_zones() const { return workers_.unreachable_zones(); }
  /// A peer was the first to announce that the job is cancelled.
  void cancelled(const JobId& job_id);
  /// Machines of which it is not known that their cancelled tasks have ended, though it is time to
  /// have them deleted.
  [[nodiscard]] std::vector<MachineId> overdue() const {
    return deadlines_.overdue_machines(workers_);
  }
  /// The latest moment up to which no cancellation can have been confirmed that we do not know of.
  void extend_freshness(SteadyTime until) { deadlines_.extend_freshness(until); }

 private:
  [[nodiscard]] ShardEvents shard_events();
  void on_shard_gained(const ZoneId& zone);
  void on_shard_lost(const ZoneId& zone);
  void on_record_changed(RecordKind kind, const std::string& key);
  void run_round();
  void decide_dirty_slices();
  /// Those of standing jobs, taken out of the batch.
  void decide_standing_slices(std::set<SliceKey>& batch, SteadyTime until);
  void sweep();
  void check_reachability();
  void check_heartbeats_reachable(const MachineId& machine_id, KnownWorker& worker);
  void check_commands_reachable(const MachineId& machine_id, KnownWorker& worker);
  /// Marks what has to be looked at again though no record changed.
  void mark_waiting_tasks();

  ShardContext context_;
  PendingWork work_;
  ShardOwnership shards_;
  MisroutedHeartbeats misrouted_;
  WorkerRegistry workers_;
  CancellationDeadlines deadlines_;
  MachineRecorder machines_;
  TaskBinder binder_;
  SliceCommits commits_;
  ReleaseOffers offers_;
  TaskLifecycle lifecycle_;
  OrderDelivery orders_;
  HeartbeatHandler heartbeats_;
  SliceKey last_decided_;  // rounds go on behind it
  Timer sweep_timer_;
};

}  // namespace marblevale
