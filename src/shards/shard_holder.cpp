#include "shards/shard_holder.hpp"

#include <string>

namespace marblevale {

namespace {
constexpr Duration kSweepInterval{500};
constexpr Duration kBackpressureDelay{50};  // while the limit of commits in flight is reached
}  // namespace

ShardHolder::ShardHolder(Loop& loop, const Clock& clock, const Settings& settings,
                         WatchCache& cache, Election& election, OrderSender& orders,
                         Cancellations& cancellations)
    : context_{loop.metrics(), clock, settings, cache, cancellations},
      work_(loop, [this] { run_round(); }),
      shards_(context_, election, shard_events()),
      workers_(context_, shards_),
      deadlines_(context_, shards_),
      machines_(loop, context_, shards_, workers_),
      binder_(context_, workers_),
      commits_(cache, work_),
      offers_(context_, shards_, binder_, commits_),
      reconciler_(context_, shards_, workers_, machines_, binder_, commits_),
      orders_(context_, shards_, workers_, deadlines_, commits_, work_, orders,
              [this](KnownWorker& worker, const WorkerHeartbeat& heartbeat) {
                heartbeats_.handle_order_reply(worker, heartbeat);
              }),
      heartbeats_(context_, shards_, workers_, deadlines_, machines_, orders_, misrouted_, work_),
      sweep_timer_(loop, [this] { sweep(); }) {
  cache.listen([this](RecordKind kind, const std::string& key) { on_record_changed(kind, key); });
}

void ShardHolder::begin() {
  deadlines_.warn_if_tight();
  sweep_timer_.start(kSweepInterval);
}

ShardEvents ShardHolder::shard_events() {
  return {.acquired = [this](const ZoneId& zone) { on_shard_acquired(zone); },
          .lost = [this](const ZoneId& zone) { on_shard_lost(zone); },
          .holder_changed = [this](const ZoneId& zone) { misrouted_.forget(zone); },
          .renewal_answered = [this] { work_.schedule_round(); }};
}

void ShardHolder::on_shard_acquired(const ZoneId& zone) {
  // Pending changes of an earlier ownership are outdated. After a partition they would mark all
  // machines as silent.
  machines_.forget_zone(zone);
  // The workers immediately get a request that tells them which controller holds the shard now.
  const SteadyTime now = context_.clock.steady();
  for (const auto& [machine_id, machine] : context_.cache.records().machines) {
    if (machine.record.zone != zone || machine.record.state >= MachineState::deleting) continue;
    workers_.expect_heartbeats(machine.record, now);
    work_.schedule_orders(machine_id);
  }
  for (const auto& [key, slice] : context_.cache.records().slices) work_.mark_dirty(key);
}

void ShardHolder::on_shard_lost(const ZoneId& zone) {
  workers_.forget_zone(zone);
  machines_.forget_zone(zone);
}

void ShardHolder::on_record_changed(RecordKind kind, const std::string& key) {
  const Records& records = context_.cache.records();
  switch (kind) {
    case RecordKind::slice:
      if (const auto slice = parse_slice_name(key)) work_.mark_slice_dirty(records, *slice);
      break;
    case RecordKind::job:
      work_.mark_job_dirty(records, JobId(key));
      break;
    case RecordKind::machine:
      if (!records.placed.contains(MachineId(key))) return;
      work_.mark_machine_dirty(records, MachineId(key));
      break;
    case RecordKind::shard:
    case RecordKind::node:
      break;
    default:
      return;
  }
  work_.schedule_round();
}

void ShardHolder::on_job_cancelled(const JobId& job_id) {
  work_.mark_job_dirty(context_.cache.records(), job_id);
  work_.schedule_round();
}

std::vector<ZoneId> ShardHolder::misrouted_zones() {
  std::vector<ZoneId> zones = misrouted_.affected_zones(context_.clock.steady());
  std::erase_if(zones, [this](const ZoneId& zone) {
    return shards_.ownership(zone) != ShardOwnership::Ownership::none;
  });
  return zones;
}

void ShardHolder::run_round() {
  if (!context_.cache.ready()) return;
  const auto timed = context_.metrics.time(Duty::holder);
  shards_.refresh();
  if (!shards_.holds_any()) {
    // Without a held shard there is nothing to reconcile. The acquisition of a shard marks all
    // slices.
    work_.clear();
    offers_.clear_pending();
    return;
  }
  offers_.retry_pending();
  reconcile_dirty_slices();
}

void ShardHolder::reconcile_dirty_slices() {
  const SteadyTime until = context_.clock.steady() + context_.settings.tuning.round_budget;
  // Slices that exceed the round's time budget stay for the next round. So do slices that are
  // marked during the round, because a commit that is refused immediately must not be retried in a
  // loop within one round.
  std::set<SliceKey> batch = work_.take_dirty_slices();
  // Each round continues where the last round stopped (round robin). Otherwise the last slices
  // would starve while writes are limited.
  reconcile_service_slices(batch, until);
  auto next = batch.upper_bound(last_reconciled_);
  while (!batch.empty() && commits_.has_capacity() && context_.clock.steady() <= until) {
    if (next == batch.end()) next = batch.begin();
    last_reconciled_ = *next;
    next = batch.erase(next);
    // A slice with a commit in flight is marked dirty again by the commit's result.
    if (!commits_.in_flight(last_reconciled_)) reconciler_.reconcile(last_reconciled_);
  }
  const bool slices_left = !batch.empty();
  work_.return_slices(std::move(batch));
  orders_.send_waiting_orders();
  if (!slices_left && !work_.has_machines_awaiting_orders()) return;
  if (commits_.has_capacity()) {
    work_.schedule_round();
  } else {
    work_.schedule_round(kBackpressureDelay);
  }
}

void ShardHolder::reconcile_service_slices(std::set<SliceKey>& batch, SteadyTime until) {
  // Slices of service jobs do not wait for the commits of other jobs, because their service is down
  // until they are bound.
  const Records& records = context_.cache.records();
  for (auto it = batch.begin(); it != batch.end() && context_.clock.steady() <= until;) {
    if (!commits_.has_service_capacity()) return;
    if (binding_priority(records, it->job_id) != RequestPriority::service_binding) {
      ++it;
      continue;
    }
    if (!commits_.in_flight(*it)) reconciler_.reconcile(*it);
    it = batch.erase(it);
  }
}

void ShardHolder::sweep() {
  sweep_timer_.start(kSweepInterval);
  if (!context_.cache.ready()) return;
  const auto timed = context_.metrics.time(Duty::holder);
  const SteadyTime now = context_.clock.steady();
  workers_.discount_pause(now, kSweepInterval);
  shards_.renew_requested_tokens(now);
  if (!shards_.holds_any()) return;

  machines_.mark_silent(now);
  workers_.forget_gone(now);
  check_reachability();
  machines_.write_images();
  machines_.flush_if_idle();
  reconciler_.mark_deferred_dirty(work_);
  mark_unfinished_transitions_dirty();
  work_.schedule_round();
}

void ShardHolder::check_reachability() {
  for (auto& [machine_id, worker] : workers_.all()) {
    if (!worker.reachability.reachable()) work_.schedule_orders(machine_id);
    check_heartbeats_reachable(machine_id, worker);
    check_commands_reachable(machine_id, worker);
  }
}

void ShardHolder::check_heartbeats_reachable(const MachineId& machine_id, KnownWorker& worker) {
  // A silent machine may reach no controller and still receive orders. The state of its tasks and
  // the expiry of its lease are then known only from its replies to probes.
  worker.reachability.set_periodic_probes(workers_.is_silent(machine_id) &&
                                          context_.cache.records().placed.contains(machine_id));
  if (worker.reachability.probe_due(context_.clock.steady())) work_.schedule_orders(machine_id);
}

void ShardHolder::check_commands_reachable(const MachineId& machine_id, KnownWorker& worker) {
  const SteadyTime now = context_.clock.steady();
  const Duration heartbeat_interval = context_.settings.workers.heartbeat;
  if (now - worker.last_heartbeat_at < heartbeat_interval * 2 &&
      worker.reachability.has_missing_start(worker.status, now, heartbeat_interval)) {
    worker.reachability.mark_commands_unreachable(WorkerReachability::Evidence::starts_missing);
  }
  worker.reachability.forget_starts([&](const TaskAttempt& start) {
    const TaskRecord* task = context_.cache.records().task(start.id);
    return task == nullptr || task->state != TaskState::bound || task->machine_id != machine_id ||
           task->attempt != start.attempt || worker.status.tasks.contains(start);
  });
  if (worker.reachability.commands_unreachable()) {
    machines_.set_state(machine_id, MachineState::silent, MachineStateReason::commands_unreachable);
  }
}

void ShardHolder::mark_unfinished_transitions_dirty() {
  const Records& records = context_.cache.records();
  for (const auto& [machine_id, placed] : records.placed) {
    for (const auto& [id, attempt] : placed) {
      const TaskRecord* task = records.task(id);
      if (task != nullptr && (task->stop || task->state == TaskState::released)) {
        work_.mark_dirty(slice_of(id));
        work_.schedule_orders(machine_id);
      }
      const bool cancelled = context_.cancellations.cancelled_at(id.job_id).has_value();
      if (cancelled && records.job(id.job_id) != nullptr) work_.schedule_orders(machine_id);
    }
  }
}

}  // namespace marblevale
