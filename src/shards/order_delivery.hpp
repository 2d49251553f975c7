/// Decides which orders a worker is due, and delivers them in the reply to a heartbeat or by a
/// direct request to the worker.
#pragma once

#include <functional>
#include <vector>

#include "shards/cancellation_deadlines.hpp"
#include "shards/order_sender.hpp"
#include "shards/pending_work.hpp"
#include "shards/shard_context.hpp"
#include "shards/shard_ownership.hpp"
#include "shards/slice_commits.hpp"
#include "shards/worker_registry.hpp"

namespace marblevale {

/// Derives orders from the records: `start` for bound tasks that the worker does not report, `kill`
/// for tasks that must not run, and `clear` for ended tasks of which no start can still arrive.
/// Undelivered orders need no queue, because they are derived again for the next heartbeat reply or
/// direct request.
class OrderDelivery {
 public:
  /// Receives the heartbeat with which a worker replied to an order.
  using OnHeartbeat = std::function<void(KnownWorker&, const WorkerHeartbeat&)>;

  OrderDelivery(const ShardContext& context, ShardOwnership& shards, WorkerRegistry& workers,
                const CancellationDeadlines& deadlines, const SliceCommits& commits,
                PendingWork& work, OrderSender& sender, OnHeartbeat on_heartbeat);

  /// Returns the orders for the reply to this heartbeat, and records them as sent.
  [[nodiscard]] std::vector<Order> orders_for_heartbeat_reply(const WorkerHeartbeat& heartbeat,
                                                              KnownWorker& worker);
  /// Sends direct orders to the machines that are scheduled for them. The number of machines in one
  /// round is bounded; the other machines stay scheduled.
  void send_waiting_orders();

 private:
  [[nodiscard]] std::vector<Order> due_orders(const MachineId& machine_id, KnownWorker& worker,
                                              OrderChannel channel);
  void add_orders_for_bound_tasks(const MachineId& machine_id, KnownWorker& worker,
                                  OrderChannel channel, std::vector<Order>& orders);
  void add_order_for_bound_task(const TaskAttempt& attempt, KnownWorker& worker,
                                OrderChannel channel, std::vector<Order>& orders);
  /// Adds orders for tasks that the worker reports although they are not bound to its machine.
  void add_orders_for_unbound_tasks(const MachineId& machine_id, KnownWorker& worker,
                                    OrderChannel channel, std::vector<Order>& orders);
  [[nodiscard]] bool is_bound_to(const MachineId& machine_id, const TaskAttempt& attempt) const;
  /// Returns true when a request was sent.
  bool send_due_orders(const MachineId& machine_id);
  void send(const MachineId& machine_id, KnownWorker& worker, const std::vector<Order>& orders);
  void handle_reply(const MachineId& machine_id, FencingToken token, const HttpReply& reply);
  void apply_reply(const MachineId& machine_id, KnownWorker& worker, const HttpReply& reply);

  const ShardContext& context_;
  ShardOwnership& shards_;
  WorkerRegistry& workers_;
  const CancellationDeadlines& deadlines_;
  const SliceCommits& commits_;
  PendingWork& work_;
  OrderSender& sender_;
  OnHeartbeat on_heartbeat_;
};

}  // namespace marblevale
