#include "shards/machine_recorder.hpp"

#include <spdlog/spdlog.h>

#include "shards/write_pacing.hpp"

namespace marblevale {

using EditAction = MachineWriter::EditAction;

namespace {

const char* name_of(MachineStateReason reason) {
  switch (reason) {
    case MachineStateReason::reclaim_announced:
      return "reclaim_announced";
    case MachineStateReason::heartbeats_resumed:
      return "heartbeats_resumed";
    case MachineStateReason::heartbeats_missing:
      return "heartbeats_missing";
    case MachineStateReason::commands_unreachable:
      return "commands_unreachable";
    case MachineStateReason::task_failed:
      return "task_failed";
  }
  return "";
}

}  // namespace

MachineRecorder::MachineRecorder(Loop& loop, const ShardContext& context,
                                 const ShardOwnership& shards, WorkerRegistry& workers)
    : context_(context),
      shards_(shards),
      workers_(workers),
      writer_(context.cache, RequestPriority::binding,
              [&shards](Transaction& txn, const ZoneId& zone) {
                if (!shards.holds(zone)) return false;
                shards.fence(txn, zone);
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
    set_state(heartbeat.machine_id, MachineState::draining, MachineStateReason::reclaim_announced);
  } else if (state == MachineState::silent && !workers_.is_silent(heartbeat.machine_id)) {
    set_state(heartbeat.machine_id, MachineState::up, MachineStateReason::heartbeats_resumed);
  }
}

void MachineRecorder::add_machine(const WorkerHeartbeat& heartbeat, const KnownWorker& worker) {
  if (writer_.has_pending_edit(heartbeat.machine_id)) return;
  MachineRecord new_machine;
  new_machine.machine_id = heartbeat.machine_id;
  new_machine.address = heartbeat.address;
  new_machine.machine_type = heartbeat.machine_type;
  new_machine.zone = heartbeat.zone;
  new_machine.spot = heartbeat.spot;
  new_machine.since = context_.clock.wall();
  new_machine.reclaim_at = worker.reclaim_at;
  if (worker.reclaim_at) new_machine.state = MachineState::draining;
  writer_.edit(heartbeat.machine_id, heartbeat.zone, [new_machine](MachineRecord& record) {
    if (record.machine_id != MachineId{}) return EditAction::none;  // already added
    record = new_machine;
    return EditAction::put;
  });
  schedule_flush();
}

void MachineRecorder::set_state(const MachineId& machine_id, MachineState state,
                                MachineStateReason reason, JobId failed_job) {
  const auto& machines = context_.cache.records().machines;
  const auto it = machines.find(machine_id);
  if (it == machines.end() || it->second.record.state == state ||
      it->second.record.state >= MachineState::deleting || writer_.has_pending_edit(machine_id)) {
    return;
  }
  const KnownWorker* worker = workers_.find(machine_id);
  const auto reclaim_at = worker == nullptr ? std::nullopt : worker->reclaim_at;
  const WallTime now = context_.clock.wall();
  auto edit = [this, machine_id, state, failed_job = std::move(failed_job), reclaim_at,
               now](MachineRecord& record) {
    if (record.machine_id == MachineId{} || record.state == state ||
        record.state >= MachineState::deleting) {
      return EditAction::none;
    }
    // The edit may run some time after it was decided, and a heartbeat may have arrived since then.
    if (state == MachineState::silent && !workers_.is_silent(machine_id)) return EditAction::none;
    record.state = state;
    record.since = now;
    record.failed_job = failed_job;
    if (reclaim_at) record.reclaim_at = reclaim_at;
    return EditAction::put;
  };
  // The change is logged only after its commit, because a holder that cannot reach the state
  // service retries the change at each sweep.
  auto log = [machine_id, state, reason] {
    spdlog::info("shard_holder: machine_state_changed machine={} state={} reason={}",
                 machine_id.get(), name_of(state), name_of(reason));
  };
  writer_.edit(machine_id, it->second.record.zone, std::move(edit), std::move(log));
  schedule_flush();
}

void MachineRecorder::mark_silent(SteadyTime now) {
  // When no machine of a zone sends heartbeats, this controller itself may be at fault.
  const std::map<ZoneId, HeartbeatCounts> counts = workers_.count_heartbeating(now);
  for (const auto& [machine_id, machine] : context_.cache.records().machines) {
    const MachineRecord& record = machine.record;
    if (record.state != MachineState::up && record.state != MachineState::draining) continue;
    const KnownWorker* worker = workers_.find(machine_id);
    if (worker == nullptr || !shards_.holds(record.zone)) continue;
    if (workers_.is_heartbeating(*worker, now) || counts.at(record.zone).heartbeating == 0)
      continue;
    set_state(machine_id, MachineState::silent, MachineStateReason::heartbeats_missing);
  }
}

void MachineRecorder::write_images() {
  // Only the quality of placement depends on the images, so they use spare write budget.
  for (auto& [machine_id, worker] : workers_.all()) {
    if (context_.cache.write_slack() < kAmpleWriteSlack) return;
    if (!worker.images_changed || writer_.has_pending_edit(machine_id)) continue;
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
