#include "shards/shard_holder.hpp"

#include <string>

namespace marblevale {

namespace {
constexpr Duration kSweepInterval{500};
constexpr Duration kBackpressureDelay{50};  // while as many commits are on their way as may be
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
      lifecycle_(context_, shards_, workers_, machines_, binder_, commits_),
      orders_(context_, shards_, workers_, deadlines_, commits_, work_, orders,
              [this](KnownWorker& worker, const WorkerHeartbeat& heartbeat) {
                heartbeats_.handle_order_answer(worker, heartbeat);
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
  return {.gained = [this](const ZoneId& zone) { on_shard_gained(zone); },
          .lost = [this](const ZoneId& zone) { on_shard_lost(zone); },
          .holder_changed = [this](const ZoneId& zone) { misrouted_.forget(zone); },
          .renewal_answered = [this] { work_.schedule_round(); }};
}

void ShardHolder::on_shard_gained(const ZoneId& zone) {
  // What an earlier holding wanted to say of its machines is no longer known to be so: a holder
  // that had been cut off called all of them silent, as soon as it was back.
  machines_.forget_zone(zone);
  // Workers of a holder that is gone get orders at once, to know who holds the shard now.
  const SteadyTime now = context_.clock.steady();
  for (const auto& [machine_id, machine] : context_.cache.records().machines) {
    if (machine.record.zone != zone || machine.record.state >= MachineState::deleting) continue;
    workers_.expect(machine.record, now);
    work_.command_machine(machine_id);
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
    case RecordKind::slice: {
      const auto slash = key.find('/');
      const auto number = static_cast<std::uint32_t>(std::stoul(key.substr(slash + 1)));
      work_.mark_slice_dirty(records, {JobId(key.substr(0, slash)), number});
      break;
    }
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

void ShardHolder::cancelled(const JobId& job_id) {
  work_.mark_job_dirty(context_.cache.records(), job_id);
  work_.schedule_round();
}

std::vector<ZoneId> ShardHolder::misrouted_zones() {
  std::vector<ZoneId> zones = misrouted_.affected_zones(context_.clock.steady());
  std::erase_if(zones, [this](const ZoneId& zone) {
    return shards_.holding(zone) != ShardOwnership::Holding::none;
  });
  return zones;
}

void ShardHolder::run_round() {
  if (!context_.cache.ready()) return;
  const auto timed = context_.metrics.time(Duty::holder);
  shards_.refresh();
  if (!shards_.holds_any()) {
    // Nothing here is ours to decide; a shard that comes brings all its slices.
    work_.clear();
    offers_.clear();
    return;
  }
  offers_.retry();
  decide_dirty_slices();
}

void ShardHolder::decide_dirty_slices() {
  const SteadyTime until = context_.clock.steady() + context_.settings.tuning.round_budget;
  // Slices are taken one by one; what the budget leaves stays for the next round. What a decision
  // marks dirty waits for the next round, too: a commit that is refused at once must not be tried
  // again and again within one round.
  std::set<SliceKey> batch = work_.take_dirty_slices();
  // It goes on where the last round stopped: when writes are short the first slices would have
  // their turn again and again, and the last ones never.
  decide_standing_slices(batch, until);
  auto next = batch.upper_bound(last_decided_);
  while (!batch.empty() && commits_.has_room() && context_.clock.steady() <= until) {
    if (next == batch.end()) next = batch.begin();
    last_decided_ = *next;
    next = batch.erase(next);
    // A slice whose commit is on its way comes back with the commit's answer.
    if (!commits_.in_flight(last_decided_)) lifecycle_.decide_slice(last_decided_);
  }
  const bool slices_left = !batch.empty();
  work_.return_slices(std::move(batch));
  orders_.command_waiting_machines();
  if (!slices_left && !work_.has_machines_to_command()) return;
  if (commits_.has_room()) {
    work_.schedule_round();
  } else {
    work_.schedule_round(kBackpressureDelay);
  }
}

void ShardHolder::decide_standing_slices(std::set<SliceKey>& batch, SteadyTime until) {
  // Few, and down until they are bound: they don't wait for the commits of others.
  const Records& records = context_.cache.records();
  for (auto it = batch.begin(); it != batch.end() && context_.clock.steady() <= until;) {
    if (binding_priority(records, it->job_id) != RequestPriority::service_binding) {
      ++it;
      continue;
    }
    if (!commits_.in_flight(*it)) lifecycle_.decide_slice(*it);
    it = batch.erase(it);
  }
}

void ShardHolder::sweep() {
  sweep_timer_.start(kSweepInterval);
  if (!context_.cache.ready()) return;
  const auto timed = context_.metrics.time(Duty::holder);
  const SteadyTime now = context_.clock.steady();
  workers_.discount_pause(now, kSweepInterval);
  shards_.renew_requested(now);
  if (!shards_.holds_any()) return;

  machines_.mark_silent(now);
  workers_.forget_gone(now);
  check_reachability();
  machines_.write_images();
  machines_.flush_if_idle();
  lifecycle_.mark_deferred_dirty(work_);
  mark_waiting_tasks();
  work_.schedule_round();
}

void ShardHolder::check_reachability() {
  for (auto& [machine_id, worker] : workers_.all()) {
    if (!worker.reachability.reachable()) work_.command_machine(machine_id);
    check_heartbeats_reachable(machine_id, worker);
    check_commands_reachable(machine_id, worker);
  }
}

void ShardHolder::check_heartbeats_reachable(const MachineId& machine_id, KnownWorker& worker) {
  // It may reach no controller and receive orders all the same. What becomes of its tasks, and that
  // its lease has lapsed, is then known from its answers only.
  worker.reachability.probe_regularly(workers_.is_silent(machine_id) &&
                                      context_.cache.records().placed.contains(machine_id));
  if (worker.reachability.probe_due(context_.clock.steady())) work_.command_machine(machine_id);
}

void ShardHolder::check_commands_reachable(const MachineId& machine_id, KnownWorker& worker) {
  const SteadyTime now = context_.clock.steady();
  const Duration heartbeat_interval = context_.settings.workers.heartbeat;
  if (now - worker.last_heartbeat_at < heartbeat_interval * 2 &&
      worker.reachability.misses_starts(worker.view, now, heartbeat_interval)) {
    worker.reachability.mark_commands_unreachable("its starts do not show");
  }
  worker.reachability.forget_starts([&](const TaskAttempt& start) {
    const TaskRecord* task = context_.cache.records().task(start.id);
    return task == nullptr || task->state != TaskState::bound || task->machine_id != machine_id ||
           task->attempt != start.attempt || worker.view.tasks.contains(start);
  });
  if (worker.reachability.commands_unreachable()) {
    machines_.set_state(machine_id, MachineState::silent, "reports, but commands do not reach it");
  }
}

void ShardHolder::mark_waiting_tasks() {
  const Records& records = context_.cache.records();
  for (const auto& [machine_id, placed] : records.placed) {
    for (const auto& [id, attempt] : placed) {
      const TaskRecord* task = records.task(id);
      if (task != nullptr && (task->stop || task->state == TaskState::released)) {
        work_.mark_dirty(slice_of(id));
        work_.command_machine(machine_id);
      }
      const bool cancelled = context_.cancellations.cancelled_at(id.job_id).has_value();
      if (cancelled && records.job(id.job_id) != nullptr) work_.command_machine(machine_id);
    }
  }
}

}  // namespace marblevale
