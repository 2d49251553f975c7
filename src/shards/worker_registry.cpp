#include "shards/worker_registry.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace marblevale {

namespace {
constexpr Duration kMinProcessPause{3'000};  // in addition to the interval between two sweeps
/// For a worker without heartbeats, without a record and without a start that may still arrive.
constexpr Duration kUnregisteredWorkerRetention{30'000};
}  // namespace

KnownWorker* WorkerRegistry::find(const MachineId& machine_id) {
  const auto it = workers_.find(machine_id);
  return it == workers_.end() ? nullptr : &it->second;
}

const KnownWorker* WorkerRegistry::find(const MachineId& machine_id) const {
  const auto it = workers_.find(machine_id);
  return it == workers_.end() ? nullptr : &it->second;
}

KnownWorker& WorkerRegistry::find_or_add(const MachineId& machine_id, SteadyTime now) {
  const auto [it, added] = workers_.try_emplace(machine_id, machine_id);
  if (added) it->second.last_heartbeat_at = now;
  return it->second;
}

void WorkerRegistry::expect_heartbeats(const MachineRecord& machine, SteadyTime now) {
  KnownWorker& worker = workers_.try_emplace(machine.machine_id, machine.machine_id).first->second;
  worker.zone = machine.zone;
  restart_silence_timer(machine.machine_id, worker, now);
  worker.status.address = machine.address;
}

void WorkerRegistry::forget_zone(const ZoneId& zone) {
  std::erase_if(workers_, [&](const auto& entry) { return entry.second.zone == zone; });
}

void WorkerRegistry::forget_gone(SteadyTime now) {
  const auto& machines = context_.cache.records().machines;
  const auto is_unregistered_and_idle = [now](const KnownWorker& worker) {
    // Time does not rule out that a direct start arrives, so a worker that may still execute one is
    // kept: its record may only be unreadable for a while.
    return now - worker.last_heartbeat_at > kUnregisteredWorkerRetention &&
           worker.status.direct_starts.empty();
  };
  std::erase_if(workers_, [&](const auto& entry) {
    const KnownWorker& worker = entry.second;
    const auto machine = machines.find(entry.first);
    const bool gone = machine == machines.end()
                          ? is_unregistered_and_idle(worker)
                          : machine->second.record.state == MachineState::gone;
    return gone && !worker.order_request_in_flight;
  });
}

Duration WorkerRegistry::silence_limit() const {
  return scaled(context_.settings.workers.heartbeat, kSilentHeartbeats);
}

bool WorkerRegistry::is_silent(const MachineId& machine_id) const {
  const KnownWorker* worker = find(machine_id);
  if (worker == nullptr) return false;
  return worker->reachability.commands_unreachable() ||
         !is_heartbeating(*worker, context_.clock.steady());
}

std::map<ZoneId, HeartbeatCounts> WorkerRegistry::count_heartbeating(SteadyTime now) const {
  std::map<ZoneId, HeartbeatCounts> counts;
  for (const auto& [machine_id, machine] : context_.cache.records().machines) {
    const KnownWorker* worker = find(machine_id);
    if (worker == nullptr || !shards_.holds(machine.record.zone)) continue;
    HeartbeatCounts& count = counts[machine.record.zone];
    ++count.machines;
    if (is_heartbeating(*worker, now)) ++count.heartbeating;
  }
  return counts;
}

std::set<ZoneId> WorkerRegistry::unreachable_zones() const {
  std::set<ZoneId> zones = shards_.held_zones();
  const SteadyTime now = context_.clock.steady();
  for (const auto& [machine_id, worker] : workers_) {
    if (zones.empty()) break;
    if (worker.reachability.reachable() && is_heartbeating(worker, now)) zones.erase(worker.zone);
  }
  return zones;
}

void WorkerRegistry::restart_silence_timer(const MachineId& machine_id, KnownWorker& worker,
                                           SteadyTime now) const {
  // A machine that an earlier holder marked as silent must send a heartbeat first.
  const auto& machines = context_.cache.records().machines;
  const auto machine = machines.find(machine_id);
  if (machine != machines.end() && machine->second.record.state == MachineState::silent) return;
  worker.last_heartbeat_at = now;
}

void WorkerRegistry::restart_silence_timers_of_reconnected_zones(SteadyTime now) {
  // After a partition the machines of a zone reconnect one by one. The first machine must not make
  // the others count as silent.
  std::set<ZoneId> still_unreachable = unreachable_zones();
  for (auto& [machine_id, worker] : workers_) {
    if (unreachable_zones_.contains(worker.zone) && !still_unreachable.contains(worker.zone)) {
      restart_silence_timer(machine_id, worker, now);
    }
  }
  unreachable_zones_ = std::move(still_unreachable);
}

std::size_t WorkerRegistry::reported_tasks() const {
  std::size_t tasks = 0;
  for (const auto& [machine_id, worker] : workers_) tasks += worker.status.tasks.size();
  return tasks;
}

Duration WorkerRegistry::excluded_time(SteadyTime now, Duration pause) const {
  // While the records are stale, another controller may hold the shard and receive the workers'
  // heartbeats.
  if (now - context_.cache.fresh_until() >= silence_limit()) return silence_limit();
  if (pause < kMinProcessPause) return Duration{0};
  spdlog::info("shard_holder: process_paused duration_ms={}", pause.count());
  return pause;
}

void WorkerRegistry::discount_pause(SteadyTime now, Duration interval) {
  const Duration pause = now - last_sweep_ - interval;
  const bool first_sweep = last_sweep_ < SteadyTime{};
  last_sweep_ = now;
  if (first_sweep) return;
  restart_silence_timers_of_reconnected_zones(now);
  // A paused process receives no heartbeats, which is no fault of the machines. The pause counts
  // neither as silence of the machines nor as time in which a start should have been reported.
  const Duration excluded = excluded_time(now, pause);
  if (excluded <= Duration{0}) return;
  for (auto& [machine_id, worker] : workers_) {
    worker.last_heartbeat_at = std::min(now, worker.last_heartbeat_at + excluded);
    worker.reachability.discount_pause(now, excluded);
  }
}

}  // namespace marblevale
