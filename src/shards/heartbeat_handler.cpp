#include "shards/heartbeat_handler.hpp"

#include <spdlog/spdlog.h>

#include "protocol/json.hpp"

namespace marblevale {

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
  if (!holder_known) return {421, "{}"};
  misrouted_.record(heartbeat.zone, heartbeat.machine_id, context_.clock.steady());
  return {421, write_holder_redirect(it->second.record.holder)};
}

HeartbeatReply HeartbeatHandler::handle(std::string_view body) {
  const auto timed = context_.metrics.time(Duty::heartbeat);
  const auto heartbeat = parse_worker_heartbeat(body);
  if (!heartbeat) return {400, R"({"error":"malformed report"})"};
  const SteadyTime now = context_.clock.steady();
  // Without contact to the state service a cancellation may have been accepted that we can't see;
  // answering would keep the worker's lease, and the cancelled task, alive for too long.
  const bool may_answer = context_.cache.ready() && deadlines_.may_answer(now);
  if (!may_answer || !shards_.holds(heartbeat->zone)) return redirect(*heartbeat);
  shards_.refresh();
  const FencingToken token = shards_.token_of(heartbeat->zone);
  if (heartbeat->token > token) return {421, "{}"};  // another holds the shard by now

  KnownWorker& worker = workers_.add_reporting(heartbeat->machine_id, now);
  worker.zone = heartbeat->zone;
  const bool newer = apply(worker, *heartbeat, WorkerView::Source::worker);
  refuse_or_allow_lease(heartbeat->machine_id, worker);
  // Not redirected to anybody who would answer.
  if (worker.lease_refused) return {503, R"({"error":"its lease must lapse"})"};
  if (!newer) return {200, write_heartbeat_answer(token, {})};
  note_reachability(*heartbeat, worker, token);
  return {200, write_heartbeat_answer(token, orders_.answer_orders(*heartbeat, worker))};
}

void HeartbeatHandler::handle_order_answer(KnownWorker& worker, const WorkerHeartbeat& heartbeat) {
  apply(worker, heartbeat, WorkerView::Source::order);
  machines_.record_heartbeat(heartbeat, worker);
}

void HeartbeatHandler::refuse_or_allow_lease(const MachineId& machine_id, KnownWorker& worker) {
  // Neither the state service nor the cloud is needed to end a cancelled task: its machine's lease
  // is left to lapse, whatever else runs there.
  const bool refused = deadlines_.lease_must_lapse(machine_id, worker);
  if (refused && !worker.lease_refused) {
    spdlog::warn("holder: {} gets no answers: it still has a cancelled task", machine_id.get());
    context_.metrics.count("leases left to lapse");
  }
  worker.lease_refused = refused;
}

void HeartbeatHandler::note_reachability(const WorkerHeartbeat& heartbeat, KnownWorker& worker,
                                         FencingToken token) {
  // A copy of an old heartbeat may come as late as it likes, and a holder that has just begun knows
  // nothing that the heartbeat could be older than: only one that bears a fencing token of this
  // holding was certainly sent since. (Tokens are renewed while a shard is held: the first counts.)
  if (heartbeat.token >= shards_.first_token_of(heartbeat.zone)) {
    const SteadyTime now = context_.clock.steady();
    worker.reachability.heartbeat_answered(now, context_.settings.workers.lease);
    worker.last_heartbeat_at = now;
    worker.reachability.heartbeat_received(token);
    machines_.record_heartbeat(heartbeat, worker);
  } else if (!worker.reachability.reachable_under(token)) {
    work_.command_machine(heartbeat.machine_id);  // a probe shows whether commands reach it
    work_.schedule_round();
  }
}

bool HeartbeatHandler::apply(KnownWorker& worker, const WorkerHeartbeat& heartbeat,
                             WorkerView::Source source) {
  const WorkerEpoch before = worker.view.epoch;
  if (!worker.view.apply(heartbeat, source)) return false;
  if (heartbeat.epoch > before) {
    const bool lapsed_though_answered =
        worker.reachability.epoch_changed(context_.clock.steady(), context_.settings.workers.lease);
    if (lapsed_though_answered && before != WorkerEpoch{}) {
      worker.reachability.mark_commands_unreachable("its lease lapsed though it was answered");
    }
  }
  worker.view.prune();
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
  for (const auto& [attempt, task] : worker.view.tasks) {
    const TaskRecord* record = context_.cache.records().task(attempt.id);
    if (record == nullptr || record->state != TaskState::bound ||
        record->attempt != attempt.attempt || record->machine_id != machine_id) {
      continue;
    }
    const bool started = task.status == TaskStatus::running && record->running == WallTime{};
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
    if (find_reported(worker.view, {id, attempt}) != nullptr) continue;
    work_.mark_dirty(slice_of(id));
    marked = true;
  }
  return marked;
}

}  // namespace marblevale
