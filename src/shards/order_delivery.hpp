// The orders that a worker is due, and their way to it: in the answer to a heartbeat, or directly.
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

class OrderDelivery {
 public:
  /// Takes the heartbeat with which a worker answered an order.
  using HeartbeatHandler = std::function<void(KnownWorker&, const WorkerHeartbeat&)>;

  OrderDelivery(const ShardContext& context, ShardOwnership& shards, WorkerRegistry& workers,
                const CancellationDeadlines& deadlines, const SliceCommits& commits,
                PendingWork& work, OrderSender& sender, HeartbeatHandler on_heartbeat);

  /// The orders that go into the answer to this heartbeat, noted as sent.
  [[nodiscard]] std::vector<Order> answer_orders(const WorkerHeartbeat& heartbeat,
                                                 KnownWorker& worker);
  /// Sends direct orders to the machines that wait for them, a bounded number in one round; the
  /// others go on waiting.
  void command_waiting_machines();

 private:
  enum class Channel { answer, direct };

  [[nodiscard]] std::vector<Order> due_orders(const MachineId& machine_id, KnownWorker& worker,
                                              Channel channel);
  /// For tasks that are bound to the machine.
  void add_orders_of_bound_tasks(const MachineId& machine_id, KnownWorker& worker, Channel channel,
                                 std::vector<Order>& orders);
  void add_order_of_bound_task(const TaskAttempt& attempt, KnownWorker& worker, Channel channel,
                               std::vector<Order>& orders);
  /// For tasks that the worker reports though they are not bound there.
  void add_orders_of_unbound_tasks(const MachineId& machine_id, KnownWorker& worker,
                                   Channel channel, std::vector<Order>& orders);
  [[nodiscard]] bool bound_to(const MachineId& machine_id, const TaskAttempt& attempt) const;
  /// True when something was sent.
  bool command(const MachineId& machine_id);
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
  HeartbeatHandler on_heartbeat_;
};

}  // namespace marblevale
