#include "shards/order_delivery.hpp"

#include <utility>

namespace marblevale {

namespace {
constexpr std::size_t kMaxOrders = 60;  // in one message, so that it stays far below 64 KiB
constexpr std::size_t kMaxMachinesPerRound = 64;
constexpr Duration kKillInterval{1'500};
constexpr Duration kKillMemory{60'000};
constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;  // another epoch, or a token that is not the highest

/// Whether a kill of this attempt may be sent now; notes it as sent.
bool take_kill_turn(KnownWorker& worker, const TaskAttempt& attempt, SteadyTime now, bool paced) {
  SteadyTime& last = worker.kills_sent[attempt];
  if (paced && now - last < kKillInterval) return false;
  last = now;
  return true;
}

}  // namespace

OrderDelivery::OrderDelivery(const ShardContext& context, ShardOwnership& shards,
                             WorkerRegistry& workers, const CancellationDeadlines& deadlines,
                             const SliceCommits& commits, PendingWork& work, OrderSender& sender,
                             HeartbeatHandler on_heartbeat)
    : context_(context),
      shards_(shards),
      workers_(workers),
      deadlines_(deadlines),
      commits_(commits),
      work_(work),
      sender_(sender),
      on_heartbeat_(std::move(on_heartbeat)) {}

std::vector<Order> OrderDelivery::answer_orders(const WorkerHeartbeat& heartbeat,
                                                KnownWorker& worker) {
  std::vector<Order> orders = due_orders(heartbeat.machine_id, worker, Channel::answer);
  const SteadyTime now = context_.clock.steady();
  for (const Order& order : orders) {
    if (order.type != OrderType::start) continue;
    const TaskAttempt start{order.id, order.attempt};
    worker.view.answered_starts[start] = heartbeat.sequence;
    worker.reachability.start_sent(start, now, true);
  }
  return orders;
}

std::vector<Order> OrderDelivery::due_orders(const MachineId& machine_id, KnownWorker& worker,
                                             Channel channel) {
  std::vector<Order> orders;
  add_orders_of_bound_tasks(machine_id, worker, channel, orders);
  add_orders_of_unbound_tasks(machine_id, worker, channel, orders);
  const SteadyTime now = context_.clock.steady();
  std::erase_if(worker.kills_sent,
                [&](const auto& entry) { return now - entry.second > kKillMemory; });
  return orders;
}

void OrderDelivery::add_orders_of_bound_tasks(const MachineId& machine_id, KnownWorker& worker,
                                              Channel channel, std::vector<Order>& orders) {
  const Records& records = context_.cache.records();
  const auto placed = records.placed.find(machine_id);
  if (placed == records.placed.end()) return;
  for (const auto& [id, attempt] : placed->second) {
    if (orders.size() >= kMaxOrders) return;
    add_order_of_bound_task({id, attempt}, worker, channel, orders);
  }
}

void OrderDelivery::add_order_of_bound_task(const TaskAttempt& attempt, KnownWorker& worker,
                                            Channel channel, std::vector<Order>& orders) {
  const Records& records = context_.cache.records();
  const TaskId& id = attempt.id;
  const TaskRecord* task = records.task(id);
  if (task == nullptr || records.job(id.job_id) == nullptr || task->state != TaskState::bound) {
    return;
  }
  const WorkerView& view = worker.view;
  if (task->epoch != view.epoch) return;
  const SteadyTime now = context_.clock.steady();
  const bool cancelled = context_.cancellations.cancelled_at(id.job_id).has_value();
  const ReportedTask* reported = find_reported(view, attempt);
  if (cancelled || task->stop) {
    if (reported == nullptr || reported->status == TaskStatus::ended) return;
    const Duration grace_period = cancelled ? Duration{0} : task->stop->grace_period;
    if (reported->status == TaskStatus::saving_checkpoint && grace_period > Duration{0}) return;
    if (!take_kill_turn(worker, attempt, now, channel == Channel::direct)) return;
    orders.push_back({OrderType::kill, id, attempt.attempt, grace_period});
    return;
  }
  // A job may have been cancelled without our knowledge: what runs may go on for a while, but
  // nothing of it may start.
  const bool may_start = deadlines_.may_start(now) && !commits_.in_flight(slice_of(id));
  if (reported != nullptr || !may_start) return;
  // Sent directly once, then by answers.
  if (channel == Channel::direct && view.direct_starts.contains(attempt)) return;
  orders.push_back({OrderType::start, id, attempt.attempt, {}});
}

bool OrderDelivery::bound_to(const MachineId& machine_id, const TaskAttempt& attempt) const {
  const Records& records = context_.cache.records();
  const JobId& job_id = attempt.id.job_id;
  const TaskRecord* task = records.task(attempt.id);
  const bool job_is_live =
      records.jobs.contains(job_id) || records.unreadable.contains(keys::job(job_id));
  return job_is_live && task != nullptr && task->placed() && task->machine_id == machine_id &&
         task->attempt == attempt.attempt;
}

void OrderDelivery::add_orders_of_unbound_tasks(const MachineId& machine_id, KnownWorker& worker,
                                                Channel channel, std::vector<Order>& orders) {
  const SteadyTime now = context_.clock.steady();
  const FencingToken token = shards_.token_of(worker.zone);
  for (const auto& [attempt, task] : worker.view.tasks) {
    if (orders.size() >= kMaxOrders) return;
    if (bound_to(machine_id, attempt)) continue;
    if (task.status != TaskStatus::ended) {
      // Nothing is meant to run here under this attempt: a gang's peer after its end, or a start
      // that came too late.
      if (!take_kill_turn(worker, attempt, now, true)) continue;
      orders.push_back({OrderType::kill, attempt.id, attempt.attempt, {}});
    } else if (channel == Channel::answer) {
      // After a clear the worker would start a late or repeated start order once more.
      if (worker.view.start_settled(attempt, token)) {
        orders.push_back({OrderType::clear, attempt.id, attempt.attempt, {}});
      } else if (worker.view.direct_starts.contains(attempt)) {
        shards_.request_renewal(worker.zone);
      }
    }
  }
}

void OrderDelivery::command_waiting_machines() {
  // A shard that comes brings hundreds of machines that must get orders at once: first those with
  // work, and not all in one round, or everything else would wait for their connections.
  const std::set<MachineId> waiting = work_.take_machines_to_command();
  const auto& placed = context_.cache.records().placed;
  std::size_t left = kMaxMachinesPerRound;
  for (const bool with_work : {true, false}) {
    for (const MachineId& machine_id : waiting) {
      if (placed.contains(machine_id) != with_work) continue;
      if (left == 0) {
        work_.command_machine(machine_id);
      } else if (command(machine_id)) {
        --left;
      }
    }
  }
}

bool OrderDelivery::command(const MachineId& machine_id) {
  KnownWorker* worker = workers_.find(machine_id);
  if (worker == nullptr || !shards_.holds(worker->zone) || worker->command_in_flight) return false;
  const std::vector<Order> orders = due_orders(machine_id, *worker, Channel::direct);
  const SteadyTime now = context_.clock.steady();
  // A kill is right however old our word of the state service is: a start is not sent then.
  const bool probe = worker->reachability.probe_due(now) && deadlines_.may_answer(now);
  if (orders.empty() && !probe) return false;
  worker->reachability.probe_sent(now);
  send(machine_id, *worker, orders);
  return true;
}

void OrderDelivery::send(const MachineId& machine_id, KnownWorker& worker,
                         const std::vector<Order>& orders) {
  const FencingToken token = shards_.token_of(worker.zone);
  for (const Order& order : orders) {
    if (order.type != OrderType::start) continue;
    const TaskAttempt start{order.id, order.attempt};
    worker.view.direct_starts[start] = token;
    worker.reachability.start_sent(start, context_.clock.steady(), false);
  }
  worker.command_in_flight = true;
  sender_.send(worker.view.address, write_order_request(token, worker.view.epoch, orders),
               [this, machine_id, token](const HttpReply& reply) {
                 handle_reply(machine_id, token, reply);
               });
}

void OrderDelivery::handle_reply(const MachineId& machine_id, FencingToken token,
                                 const HttpReply& reply) {
  KnownWorker* worker = workers_.find(machine_id);
  if (worker == nullptr) return;
  worker->command_in_flight = false;
  if (reply.status == kStatusOk) worker->reachability.command_answered(token);
  if (reply.status == kStatusOk || reply.status == kStatusConflict) {
    apply_reply(machine_id, *worker, reply);
  }
  if (reply.status == kStatusOk) work_.command_machine(machine_id);
  if (reply.answered()) work_.schedule_round();
}

void OrderDelivery::apply_reply(const MachineId& machine_id, KnownWorker& worker,
                                const HttpReply& reply) {
  const auto heartbeat = parse_worker_heartbeat(reply.body);
  if (!heartbeat || !shards_.holds(worker.zone)) return;
  // The answer to a conflict tells the epoch; then the order can be given.
  if (worker.view.epoch == WorkerEpoch{}) work_.command_machine(machine_id);
  worker.reachability.probe_at_once();
  on_heartbeat_(worker, *heartbeat);
}

}  // namespace marblevale
