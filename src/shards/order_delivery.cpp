#include "shards/order_delivery.hpp"

#include <utility>

namespace marblevale {

namespace {
constexpr std::size_t kMaxOrdersPerMessage = 60;  // keeps a message far below 64 KiB
constexpr std::size_t kMaxOrderedMachinesPerRound = 64;
constexpr Duration kKillRetryInterval{1'500};
constexpr Duration kKillRecordRetention{60'000};
constexpr int kStatusOk = 200;
/// The epoch is not the worker's, or the fencing token is too low.
constexpr int kStatusConflict = 409;

/// Returns whether a kill of this attempt is due, and if so records it as sent. With
/// `respect_retry_interval` a kill is due only when the retry interval since the last kill has
/// passed.
bool record_kill_if_due(KnownWorker& worker, const TaskAttempt& attempt, SteadyTime now,
                        bool respect_retry_interval) {
  SteadyTime& last = worker.last_kill_sent[attempt];
  if (respect_retry_interval && now - last < kKillRetryInterval) return false;
  last = now;
  return true;
}

}  // namespace

OrderDelivery::OrderDelivery(const ShardContext& context, ShardOwnership& shards,
                             WorkerRegistry& workers, const CancellationDeadlines& deadlines,
                             const SliceCommits& commits, PendingWork& work, OrderSender& sender,
                             OnHeartbeat on_heartbeat)
    : context_(context),
      shards_(shards),
      workers_(workers),
      deadlines_(deadlines),
      commits_(commits),
      work_(work),
      sender_(sender),
      on_heartbeat_(std::move(on_heartbeat)) {}

std::vector<Order> OrderDelivery::orders_for_heartbeat_reply(const WorkerHeartbeat& heartbeat,
                                                             KnownWorker& worker) {
  std::vector<Order> orders =
      due_orders(heartbeat.machine_id, worker, OrderChannel::heartbeat_reply);
  const SteadyTime now = context_.clock.steady();
  for (const Order& order : orders) {
    if (order.type != OrderType::start) continue;
    const TaskAttempt start{order.id, order.attempt};
    worker.status.reply_starts[start] = heartbeat.sequence;
    worker.reachability.on_start_sent(start, now, OrderChannel::heartbeat_reply);
  }
  return orders;
}

std::vector<Order> OrderDelivery::due_orders(const MachineId& machine_id, KnownWorker& worker,
                                             OrderChannel channel) {
  std::vector<Order> orders;
  add_orders_for_bound_tasks(machine_id, worker, channel, orders);
  add_orders_for_unbound_tasks(machine_id, worker, channel, orders);
  const SteadyTime now = context_.clock.steady();
  std::erase_if(worker.last_kill_sent,
                [&](const auto& entry) { return now - entry.second > kKillRecordRetention; });
  return orders;
}

void OrderDelivery::add_orders_for_bound_tasks(const MachineId& machine_id, KnownWorker& worker,
                                               OrderChannel channel, std::vector<Order>& orders) {
  const Records& records = context_.cache.records();
  const auto placed = records.placed.find(machine_id);
  if (placed == records.placed.end()) return;
  for (const auto& [id, attempt] : placed->second) {
    if (orders.size() >= kMaxOrdersPerMessage) return;
    add_order_for_bound_task({id, attempt}, worker, channel, orders);
  }
}

void OrderDelivery::add_order_for_bound_task(const TaskAttempt& attempt, KnownWorker& worker,
                                             OrderChannel channel, std::vector<Order>& orders) {
  const Records& records = context_.cache.records();
  const TaskId& id = attempt.id;
  const TaskRecord* task = records.task(id);
  if (task == nullptr || records.job(id.job_id) == nullptr || task->state != TaskState::bound) {
    return;
  }
  const WorkerStatus& status = worker.status;
  if (task->epoch != status.epoch) return;
  const SteadyTime now = context_.clock.steady();
  const bool cancelled = context_.cancellations.cancelled_at(id.job_id).has_value();
  const ReportedTask* reported = find_reported(status, attempt);
  if (cancelled || task->stop) {
    if (reported == nullptr || reported->status == TaskStatus::ended) return;
    const Duration grace_period = cancelled ? Duration{0} : task->stop->grace_period;
    if (reported->status == TaskStatus::saving_checkpoint && grace_period > Duration{0}) return;
    if (!record_kill_if_due(worker, attempt, now, channel == OrderChannel::direct)) return;
    orders.push_back({OrderType::kill, id, attempt.attempt, grace_period});
    return;
  }
  // The job may have been cancelled without this holder's knowledge. Running tasks may go on until
  // the cancellation deadline, but no task may start.
  const bool may_start = deadlines_.may_start_tasks(now) && !commits_.in_flight(slice_of(id));
  if (reported != nullptr || !may_start) return;
  // A start is sent directly only once, and after that in heartbeat replies.
  if (channel == OrderChannel::direct && status.direct_starts.contains(attempt)) return;
  orders.push_back({OrderType::start, id, attempt.attempt, {}});
}

bool OrderDelivery::is_bound_to(const MachineId& machine_id, const TaskAttempt& attempt) const {
  const Records& records = context_.cache.records();
  const JobId& job_id = attempt.id.job_id;
  const TaskRecord* task = records.task(attempt.id);
  const bool job_is_live =
      records.jobs.contains(job_id) || records.unreadable.contains(keys::job(job_id));
  return job_is_live && task != nullptr && task->placed() && task->machine_id == machine_id &&
         task->attempt == attempt.attempt;
}

void OrderDelivery::add_orders_for_unbound_tasks(const MachineId& machine_id, KnownWorker& worker,
                                                 OrderChannel channel, std::vector<Order>& orders) {
  const SteadyTime now = context_.clock.steady();
  const FencingToken token = shards_.token_of(worker.zone);
  for (const auto& [attempt, task] : worker.status.tasks) {
    if (orders.size() >= kMaxOrdersPerMessage) return;
    if (is_bound_to(machine_id, attempt)) continue;
    if (task.status != TaskStatus::ended) {
      // The worker must not run this attempt: the task's gang has ended, or the start arrived too
      // late.
      if (!record_kill_if_due(worker, attempt, now, true)) continue;
      orders.push_back({OrderType::kill, attempt.id, attempt.attempt, {}});
    } else if (channel == OrderChannel::heartbeat_reply) {
      // After a clear the worker would execute a late or duplicated start of the task again.
      if (worker.status.start_ruled_out(attempt, token)) {
        orders.push_back({OrderType::clear, attempt.id, attempt.attempt, {}});
      } else if (worker.status.direct_starts.contains(attempt)) {
        shards_.request_token_renewal(worker.zone);
      }
    }
  }
}

void OrderDelivery::send_waiting_orders() {
  // After a shard is acquired, hundreds of machines are due orders at the same time. Machines with
  // tasks get theirs first. The number of machines in one round is bounded, because all other work
  // would have to wait for their connections.
  const std::set<MachineId> waiting = work_.take_machines_awaiting_orders();
  const auto& placed = context_.cache.records().placed;
  std::size_t remaining = kMaxOrderedMachinesPerRound;
  for (const bool with_tasks : {true, false}) {
    for (const MachineId& machine_id : waiting) {
      if (placed.contains(machine_id) != with_tasks) continue;
      if (remaining == 0) {
        work_.schedule_orders(machine_id);
      } else if (send_due_orders(machine_id)) {
        --remaining;
      }
    }
  }
}

bool OrderDelivery::send_due_orders(const MachineId& machine_id) {
  KnownWorker* worker = workers_.find(machine_id);
  if (worker == nullptr || !shards_.holds(worker->zone) || worker->order_request_in_flight)
    return false;
  const std::vector<Order> orders = due_orders(machine_id, *worker, OrderChannel::direct);
  const SteadyTime now = context_.clock.steady();
  // Kills are sent even if the records are stale. Probes and starts are sent only while the records
  // are fresh.
  const bool probe = worker->reachability.probe_due(now) && deadlines_.may_answer_heartbeats(now);
  if (orders.empty() && !probe) return false;
  worker->reachability.on_probe_sent(now);
  send(machine_id, *worker, orders);
  return true;
}

void OrderDelivery::send(const MachineId& machine_id, KnownWorker& worker,
                         const std::vector<Order>& orders) {
  const FencingToken token = shards_.token_of(worker.zone);
  for (const Order& order : orders) {
    if (order.type != OrderType::start) continue;
    const TaskAttempt start{order.id, order.attempt};
    worker.status.direct_starts[start] = token;
    worker.reachability.on_start_sent(start, context_.clock.steady(), OrderChannel::direct);
  }
  worker.order_request_in_flight = true;
  sender_.send(worker.status.address, write_order_request(token, worker.status.epoch, orders),
               [this, machine_id, token](const HttpReply& reply) {
                 handle_reply(machine_id, token, reply);
               });
}

void OrderDelivery::handle_reply(const MachineId& machine_id, FencingToken token,
                                 const HttpReply& reply) {
  KnownWorker* worker = workers_.find(machine_id);
  if (worker == nullptr) return;
  worker->order_request_in_flight = false;
  if (reply.status == kStatusOk) worker->reachability.on_command_answered(token);
  if (reply.status == kStatusOk || reply.status == kStatusConflict) {
    apply_reply(machine_id, *worker, reply);
  }
  if (reply.status == kStatusOk) work_.schedule_orders(machine_id);
  if (reply.answered()) work_.schedule_round();
}

void OrderDelivery::apply_reply(const MachineId& machine_id, KnownWorker& worker,
                                const HttpReply& reply) {
  const auto heartbeat = parse_worker_heartbeat(reply.body);
  if (!heartbeat || !shards_.holds(worker.zone)) return;
  // The reply to a conflict contains the worker's epoch, so the orders can be sent now.
  if (worker.status.epoch == WorkerEpoch{}) work_.schedule_orders(machine_id);
  worker.reachability.make_probe_due();
  on_heartbeat_(worker, *heartbeat);
}

}  // namespace marblevale
