#include "shards/heartbeat_handler.hpp"

#include <spdlog/spdlog.h>

#include "protocol/json.hpp"

namespace marblevale {

namespace {
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnavailable = 503;
}  // namespace

HeartbeatHandler::HeartbeatHandler(const ShardContext& context, ShardOwnership& shards,
                                   WorkerRegistry& workers, const CancellationDeadlines& deadlines,
                                   MachineRecorder& machines, OrderDelivery& orders,
                                   MisroutedHeartbeats& misrouted, PendingWork& work)
    : context_(context),
      shards_(shards),
      workers_(workers),
      deadlines_(deadlines),
      machines_(machines),
      orders_(orders),
      misrouted_(misrouted),
      work_(work) {}

HeartbeatReply HeartbeatHandler::redirect(const WorkerHeartbeat& heartbeat) {
  const auto& shards = context_.cache.records().shards;
  const auto it = shards.find(heartbeat.zone);
  const bool holder_known = context_.cache.ready() && it != shards.end() &&
                            it->second.record.holder != context_.settings.node;
  if (!holder_known) return {kStatusMisdirected, "{}"};
  misrouted_.record(heartbeat.zone, heartbeat.machine_id, context_.clock.steady());
  return {kStatusMisdirected, write_holder_redirect(it->second.record.holder)};
}

HeartbeatReply HeartbeatHandler::handle(std::string_view body) {
  const auto timed = context_.metrics.time(Duty::heartbeat);
  const auto heartbeat = parse_worker_heartbeat(body);
  if (!heartbeat) return {kStatusBadRequest, R"({"error":"malformed report"})"};
  const SteadyTime now = context_.clock.steady();
  // While the state service is unreachable, a cancellation may have been confirmed without this
  // controller's knowledge. An answer would renew the worker's lease and keep the cancelled task
  // running for too long.
  const bool may_answer = context_.cache.ready() && deadlines_.may_answer_heartbeats(now);
  if (!may_answer || !shards_.holds(heartbeat->zone)) return redirect(*heartbeat);
  shards_.refresh();
  const FencingToken token = shards_.token_of(heartbeat->zone);
  // The worker has seen a higher token, so another controller holds the shard by now.
  if (heartbeat->token > token) return {kStatusMisdirected, "{}"};

  KnownWorker& worker = workers_.find_or_add(heartbeat->machine_id, now);
  worker.zone = heartbeat->zone;
  const bool newer = apply(worker, *heartbeat, WorkerStatus::Source::own_heartbeat);
  update_lease_renewal_refusal(heartbeat->machine_id, worker);
  // The worker is not redirected, because another controller would answer and so renew the lease.
  if (worker.lease_renewal_refused)
    return {kStatusUnavailable, R"({"error":"its lease must lapse"})"};
  if (!newer) return {kStatusOk, write_heartbeat_answer(token, {})};
  update_reachability(*heartbeat, worker, token);
  return {kStatusOk,
          write_heartbeat_answer(token, orders_.orders_for_heartbeat_reply(*heartbeat, worker))};
}

void HeartbeatHandler::handle_order_reply(KnownWorker& worker, const WorkerHeartbeat& heartbeat) {
  apply(worker, heartbeat, WorkerStatus::Source::order_reply);
  machines_.record_heartbeat(heartbeat, worker);
}

void HeartbeatHandler::update_lease_renewal_refusal(const MachineId& machine_id,
                                                    KnownWorker& worker) {
  // An expired lease enforces the cancellation deadline without the state service and the cloud. It
  // also ends all other tasks on the machine.
  const bool refused = deadlines_.must_let_lease_expire(machine_id, worker);
  if (refused && !worker.lease_renewal_refused) {
    spdlog::warn("shard_holder: lease_renewal_refused machine={} reason=cancelled_task_running",
                 machine_id.get());
    context_.metrics.count("leases left to lapse");
  }
  worker.lease_renewal_refused = refused;
}

void HeartbeatHandler::update_reachability(const WorkerHeartbeat& heartbeat, KnownWorker& worker,
                                           FencingToken token) {
  // A duplicate of an old heartbeat may arrive arbitrarily late, and a new holder has no earlier
  // heartbeat to compare it with. Only a heartbeat with a fencing token of this ownership was
  // certainly sent during the ownership. Renewed tokens belong to the same ownership, so the
  // heartbeat's token is compared with the first token of the ownership.
  if (heartbeat.token >= shards_.first_token_of(heartbeat.zone)) {
    const SteadyTime now = context_.clock.steady();
    worker.reachability.on_heartbeat_answered(now, context_.settings.workers.lease);
    worker.last_heartbeat_at = now;
    worker.reachability.on_heartbeat_received(token);
    machines_.record_heartbeat(heartbeat, worker);
  } else if (!worker.reachability.reachable_under(token)) {
    work_.schedule_orders(heartbeat.machine_id);  // a probe checks whether commands arrive
    work_.schedule_round();
  }
}

bool HeartbeatHandler::apply(KnownWorker& worker, const WorkerHeartbeat& heartbeat,
                             WorkerStatus::Source source) {
  const WorkerEpoch previous_epoch = worker.status.epoch;
  if (!worker.status.apply(heartbeat, source)) return false;
  if (heartbeat.epoch > previous_epoch) {
    const bool expired_though_answered = worker.reachability.on_epoch_changed(
        context_.clock.steady(), context_.settings.workers.lease);
    if (expired_though_answered && previous_epoch != WorkerEpoch{}) {
      worker.reachability.mark_commands_unreachable(
          WorkerReachability::Evidence::lease_expired_though_answered);
    }
  }
  worker.status.prune();
  worker.reclaim_at.reset();
  if (heartbeat.reclaim_in) worker.reclaim_at = context_.clock.wall() + *heartbeat.reclaim_in;
  const bool reported = mark_reported_slices(worker, heartbeat.machine_id);
  const bool unreported = mark_unreported_slices(worker, heartbeat.machine_id);
  if (reported || unreported) work_.schedule_round();
  return true;
}

bool HeartbeatHandler::mark_reported_slices(const KnownWorker& worker,
                                            const MachineId& machine_id) {
  bool marked = false;
  for (const auto& [attempt, task] : worker.status.tasks) {
    const TaskRecord* record = context_.cache.records().task(attempt.id);
    if (record == nullptr || record->state != TaskState::bound ||
        record->attempt != attempt.attempt || record->machine_id != machine_id) {
      continue;
    }
    const bool started = task.status == TaskStatus::running && record->running_since == WallTime{};
    if (task.status != TaskStatus::ended && !started) continue;
    work_.mark_dirty(slice_of(attempt.id));
    marked = true;
  }
  return marked;
}

bool HeartbeatHandler::mark_unreported_slices(const KnownWorker& worker,
                                              const MachineId& machine_id) {
  const Records& records = context_.cache.records();
  const auto placed = records.placed.find(machine_id);
  if (placed == records.placed.end()) return false;
  bool marked = false;
  for (const auto& [id, attempt] : placed->second) {
    if (find_reported(worker.status, {id, attempt}) != nullptr) continue;
    work_.mark_dirty(slice_of(id));
    marked = true;
  }
  return marked;
}

}  // namespace marblevale
