/// Which orders a worker is due, and their delivery: in the reply to a heartbeat, or directly.
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

/// Derives orders from the records: `start` for bound tasks that are not reported, `kill` for tasks
/// that must not run, `clear` for ended tasks without a start that can still arrive. Undelivered
/// orders need no queue, since they are derived again at the next occasion.
class OrderDelivery {
 public:
  /// Receives the heartbeat with which a worker replied to an order.
  using OnHeartbeat = std::function<void(KnownWorker&, const WorkerHeartbeat&)>;

  OrderDelivery(const ShardContext& context, ShardOwnership& shards, WorkerRegistry& workers,
                const CancellationDeadlines& deadlines, const SliceCommits& commits,
                PendingWork& work, OrderSender& sender, OnHeartbeat on_heartbeat);

  /// The orders for the reply to this heartbeat, recorded as sent.
  [[nodiscard]] std::vector<Order> orders_for_heartbeat_reply(const WorkerHeartbeat& heartbeat,
                                                              KnownWorker& worker);
  /// Sends direct orders to the machines that are scheduled for them, a bounded number in one
  /// round; the others stay scheduled.
  void send_waiting_orders();

 private:
  [[nodiscard]] std::vector<Order> due_orders(const MachineId& machine_id, KnownWorker& worker,
                                              OrderChannel channel);
  void add_orders_for_bound_tasks(const MachineId& machine_id, KnownWorker& worker,
                                  OrderChannel channel, std::vector<Order>& orders);
  void add_order_for_bound_task(const TaskAttempt& attempt, KnownWorker& worker,
                                OrderChannel channel, std::vector<Order>& orders);
  /// For tasks that the worker reports though they are not bound to its machine.
  void add_orders_for_unbound_tasks(const MachineId& machine_id, KnownWorker& worker,
                                    OrderChannel channel, std::vector<Order>& orders);
  [[nodiscard]] bool is_bound_to(const MachineId& machine_id, const TaskAttempt& attempt) const;
  /// True when a request was sent.
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
