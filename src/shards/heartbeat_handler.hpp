/// Handles workers' heartbeats: decides which of them are answered, updates the known workers, and
/// composes the replies.
///
/// Every answered heartbeat renews the worker's lease, so a holder lets a lease expire by refusing
/// to answer.
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

/// The reply to a heartbeat. 200: with orders. 421: this controller must not answer; with the name
/// of the shard's holder if it is known. 503: the worker's lease must expire. 400: the heartbeat is
/// malformed.
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

  /// Handles a worker's own heartbeat, which is not the reply to an order.
  HeartbeatReply handle(std::string_view body);
  /// Handles a heartbeat that a worker sent in reply to an order.
  void handle_order_reply(KnownWorker& worker, const WorkerHeartbeat& heartbeat);

 private:
  HeartbeatReply redirect(const WorkerHeartbeat& heartbeat);
  /// Updates the worker's status. Returns false, without a change, when the heartbeat is not newer.
  bool apply(KnownWorker& worker, const WorkerHeartbeat& heartbeat, WorkerStatus::Source source);
  /// Marks the slices with tasks that have started or ended. Returns true when a slice was marked.
  bool mark_reported_slices(const KnownWorker& worker, const MachineId& machine_id);
  /// Marks the slices with tasks that are placed on the machine but missing from the heartbeat.
  /// Returns true when a slice was marked.
  bool mark_unreported_slices(const KnownWorker& worker, const MachineId& machine_id);
  /// Decides whether the worker's heartbeats are answered. An answer renews the worker's lease.
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
