#include "shards/machine_recorder.hpp"

#include <spdlog/spdlog.h>

#include "shards/write_pacing.hpp"

namespace marblevale {

using EditAction = MachineWriter::EditAction;

MachineRecorder::MachineRecorder(Loop& loop, const ShardContext& context,
                                 const ShardOwnership& shards, WorkerRegistry& workers)
    : context_(context),
      shards_(shards),
      workers_(workers),
      writer_(context.cache, RequestPriority::binding,
              [&shards](Transaction& txn, const ZoneId& zone) {
                if (!shards.holds(zone)) return false;
                shards.guard(txn, zone);
                return true;
              }),
      flush_timer_(loop, [this] { writer_.flush(); }) {}

void MachineRecorder::record_heartbeat(const WorkerHeartbeat& heartbeat,
                                       const KnownWorker& worker) {
  const auto& machines = context_.cache.records().machines;
  const auto it = machines.find(heartbeat.machine_id);
  if (it == machines.end()) {
    add_machine(heartbeat, worker);
    return;
  }
  const MachineState state = it->second.record.state;
  if (worker.reclaim_at && (state == MachineState::up || state == MachineState::silent)) {
    set_state(heartbeat.machine_id, MachineState::draining, "the cloud takes it back");
  } else if (state == MachineState::silent && !workers_.is_silent(heartbeat.machine_id)) {
    set_state(heartbeat.machine_id, MachineState::up, "reports again");
  }
}

void MachineRecorder::add_machine(const WorkerHeartbeat& heartbeat, const KnownWorker& worker) {
  if (writer_.waits(heartbeat.machine_id)) return;
  MachineRecord added;
  added.machine_id = heartbeat.machine_id;
  added.address = heartbeat.address;
  added.machine_type = heartbeat.machine_type;
  added.zone = heartbeat.zone;
  added.spot = heartbeat.spot;
  added.since = context_.clock.wall();
  added.reclaim_at = worker.reclaim_at;
  if (worker.reclaim_at) added.state = MachineState::draining;
  writer_.edit(heartbeat.machine_id, heartbeat.zone, [added](MachineRecord& record) {
    if (record.machine_id != MachineId{}) return EditAction::none;  // it was added meanwhile
    record = added;
    return EditAction::put;
  });
  schedule_flush();
}

void MachineRecorder::set_state(const MachineId& machine_id, MachineState state, const char* reason,
                                JobId blamed) {
  const auto& machines = context_.cache.records().machines;
  const auto it = machines.find(machine_id);
  if (it == machines.end() || it->second.record.state == state ||
      it->second.record.state >= MachineState::deleting || writer_.waits(machine_id)) {
    return;
  }
  const KnownWorker* worker = workers_.find(machine_id);
  const auto reclaim_at = worker == nullptr ? std::nullopt : worker->reclaim_at;
  const WallTime now = context_.clock.wall();
  auto edit = [this, machine_id, state, blamed = std::move(blamed), reclaim_at,
               now](MachineRecord& record) {
    if (record.machine_id == MachineId{} || record.state == state ||
        record.state >= MachineState::deleting) {
      return EditAction::none;
    }
    // Decided some time ago, perhaps: it has reported since.
    if (state == MachineState::silent && !workers_.is_silent(machine_id)) return EditAction::none;
    record.state = state;
    record.since = now;
    record.blamed = blamed;
    if (reclaim_at) record.reclaim_at = reclaim_at;
    return EditAction::put;
  };
  // Logged once it is committed: a holder that is cut off tries this at every sweep.
  auto log = [machine_id, state, reason] {
    spdlog::info("holder: {} is {}: {}", machine_id.get(), name_of(state), reason);
  };
  writer_.edit(machine_id, it->second.record.zone, std::move(edit), std::move(log));
  schedule_flush();
}

void MachineRecorder::mark_silent(SteadyTime now) {
  // When none of a shard reports, the fault may be ours.
  const std::map<ZoneId, HeartbeatCounts> counts = workers_.count_reporting(now);
  for (const auto& [machine_id, machine] : context_.cache.records().machines) {
    const MachineRecord& record = machine.record;
    if (record.state != MachineState::up && record.state != MachineState::draining) continue;
    const KnownWorker* worker = workers_.find(machine_id);
    if (worker == nullptr || !shards_.holds(record.zone)) continue;
    if (workers_.heartbeats(*worker, now) || counts.at(record.zone).reporting == 0) continue;
    set_state(machine_id, MachineState::silent, "does not report");
  }
}

void MachineRecorder::write_images() {
  // Only the quality of placement depends on them.
  for (auto& [machine_id, worker] : workers_.all()) {
    if (context_.cache.write_slack() < kAmpleWriteSlack) return;
    if (!worker.images_changed || writer_.waits(machine_id)) continue;
    if (!shards_.holds(worker.zone)) continue;
    worker.images_changed = false;
    writer_.edit(machine_id, worker.zone, [images = worker.images](MachineRecord& record) {
      if (record.machine_id == MachineId{} || record.state >= MachineState::deleting) {
        return EditAction::none;
      }
      record.images = images;
      return EditAction::put;
    });
    schedule_flush();
  }
}

void MachineRecorder::schedule_flush() {
  if (flush_timer_.pending()) return;
  flush_timer_.start(context_.cache.write_slack() > kAmpleWriteSlack ? kShortMachineBatchDelay
                                                                     : kMachineBatchDelay);
}

void MachineRecorder::flush_if_idle() {
  if (!flush_timer_.pending()) writer_.flush();
}

}  // namespace marblevale
