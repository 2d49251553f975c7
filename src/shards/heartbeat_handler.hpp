// Workers' reports: which of them are answered, what they change, and what the answer says.
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

/// The answer to a heartbeat: 200 with orders, or 421 with or without the holder's name.
struct HeartbeatReply {
  int status = 421;
  std::string body;
};

class HeartbeatHandler {
 public:
  HeartbeatHandler(const ShardContext& context, ShardOwnership& shards, WorkerRegistry& workers,
                   const CancellationDeadlines& deadlines, MachineRecorder& machines,
                   OrderDelivery& orders, MisroutedHeartbeats& misrouted, PendingWork& work);

  /// A heartbeat that a worker sent by itself.
  HeartbeatReply handle(std::string_view body);
  /// A heartbeat with which a worker answered an order.
  void handle_order_answer(KnownWorker& worker, const WorkerHeartbeat& heartbeat);

 private:
  HeartbeatReply redirect(const WorkerHeartbeat& heartbeat);
  /// Takes over what is newer than what is known; false when nothing is.
  bool apply(KnownWorker& worker, const WorkerHeartbeat& heartbeat, WorkerView::Source source);
  /// Marks the slices that the heartbeat may change; true when there are any.
  bool mark_reported_slices(const KnownWorker& worker, const MachineId& machine_id);
  bool mark_unreported_slices(const KnownWorker& worker, const MachineId& machine_id);
  void refuse_or_allow_lease(const MachineId& machine_id, KnownWorker& worker);
  void note_reachability(const WorkerHeartbeat& heartbeat, KnownWorker& worker, FencingToken token);

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
