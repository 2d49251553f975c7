/// Workers' heartbeats: which of them are answered, what they change, and what the reply contains.
///
/// Every answered heartbeat renews the worker's lease, so refusing to answer is how a holder lets a
/// lease expire.
#pragma once

#include <string>
#include <string_view>

#include "shards/cancellation_deadlines.hpp"
#include "shards/machine_recorder.hpp"
#include "shards/misrouted_heartbeats.hpp"
#include "shards/order_delivery.hpp"
#include "shards/pending_work.hpp"
#include "shards/shard_context.hpp"
#include "shards/shard_ownership.hpp"
#include "shards/worker_registry.hpp"

namespace marblevale {

inline constexpr int kStatusMisdirected = 421;

/// The reply to a heartbeat: 200 with orders, or 421 with or without the name of the shard's
/// holder.
struct HeartbeatReply {
  int status = kStatusMisdirected;
  std::string body;
};

/// Applies heartbeats to the known workers and composes the replies.
class HeartbeatHandler {
 public:
  HeartbeatHandler(const ShardContext& context, ShardOwnership& shards, WorkerRegistry& workers,
                   const CancellationDeadlines& deadlines, MachineRecorder& machines,
                   OrderDelivery& orders, MisroutedHeartbeats& misrouted, PendingWork& work);

  /// A heartbeat that a worker sent on its own.
  HeartbeatReply handle(std::string_view body);
  /// A heartbeat with which a worker replied to an order.
  void handle_order_reply(KnownWorker& worker, const WorkerHeartbeat& heartbeat);

 private:
  HeartbeatReply redirect(const WorkerHeartbeat& heartbeat);
  /// Updates the worker's status; false when the heartbeat is not newer.
  bool apply(KnownWorker& worker, const WorkerHeartbeat& heartbeat, WorkerStatus::Source source);
  /// Marks the slices whose tasks have started or ended; true when there are any.
  bool mark_reported_slices(const KnownWorker& worker, const MachineId& machine_id);
  /// Marks the slices with bound tasks that are missing from the heartbeat; true when there are
  /// any.
  bool mark_unreported_slices(const KnownWorker& worker, const MachineId& machine_id);
  /// Decides whether the worker's heartbeats are answered, which renews its lease.
  void update_lease_renewal_refusal(const MachineId& machine_id, KnownWorker& worker);
  void update_reachability(const WorkerHeartbeat& heartbeat, KnownWorker& worker,
                           FencingToken token);

  const ShardContext& context_;
  ShardOwnership& shards_;
  WorkerRegistry& workers_;
  const CancellationDeadlines& deadlines_;
  MachineRecorder& machines_;
  OrderDelivery& orders_;
  MisroutedHeartbeats& misrouted_;
  PendingWork& work_;
};

}  // namespace marblevale
