#include "autoscaler/machine_deletion.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace marblevale {

namespace {

constexpr std::size_t kMaxMachinesPerDeletion = 100;  // the protocol's maximum
/// Longer than the lag of any machine list and than the delay of any duplicated heartbeat.
constexpr Duration kTombstoneRetention{180'000};
/// The state service counts as unavailable once the records are this old.
constexpr Duration kStateServiceTimeout{2'500};

}  // namespace

MachineDeletion::MachineDeletion(const Clock& clock, WatchCache& cache, Election& election,
                                 Cloud& cloud, const MachineInventory& inventory,
                                 MachineWriter& machine_writer)
    : clock_(clock),
      cache_(cache),
      election_(election),
      cloud_(cloud),
      inventory_(inventory),
      machine_writer_(machine_writer) {}

void MachineDeletion::request(const MachineId& machine_id, DeletionReason reason) {
  if (machine_writer_.has_pending_edit(machine_id)) return;
  const auto& machines = cache_.records().machines;
  const auto stored = machines.find(machine_id);
  const bool recorded = stored != machines.end();
  if (recorded && stored->second.record.state >= MachineState::deleting) return;
  const MachineRecord record = recorded ? stored->second.record : record_from_inventory(machine_id);
  machine_writer_.edit(
      machine_id, record.zone,
      [record, now = clock_.wall()](MachineRecord& current) {
        if (current.state >= MachineState::deleting) return MachineWriter::EditAction::none;
        if (current.machine_id == MachineId{}) current = record;
        current.state = MachineState::deleting;
        current.since = now;
        return MachineWriter::EditAction::put;
      },
      [this, machine_id, reason] {
        spdlog::info("autoscaler: deletion_recorded machine={} reason={}", machine_id.get(),
                     name_of(reason));
        send_committed();
      });
}

MachineRecord MachineDeletion::record_from_inventory(const MachineId& machine_id) const {
  const MachineInventory::Entry* entry = inventory_.find(machine_id);
  if (entry == nullptr) return record_from_tasks_and_requests(machine_id);
  MachineRecord record;
  record.machine_id = machine_id;
  record.address = entry->machine.address;
  record.machine_type = entry->machine.machine_type;
  record.zone = entry->machine.zone;
  record.spot = entry->machine.spot;
  return record;
}

MachineRecord MachineDeletion::record_from_tasks_and_requests(const MachineId& machine_id) const {
  const Records& records = cache_.records();
  MachineRecord record;
  record.machine_id = machine_id;
  if (const auto placed = records.placed.find(machine_id); placed != records.placed.end()) {
    const TaskRecord* task = records.task(placed->second.begin()->first);
    if (task != nullptr) record.zone = task->zone;
  }
  for (const auto& [name, stored] : records.provisioning_requests) {
    const ProvisioningRequest& request = stored.record;
    const auto& machine_ids = request.machine_ids;
    if (std::find(machine_ids.begin(), machine_ids.end(), machine_id) == machine_ids.end()) {
      continue;
    }
    record.machine_type = request.machine_type;
    record.zone = request.zone;
    record.spot = request.spot;
  }
  return record;
}

std::vector<MachineId> MachineDeletion::committed_batch() const {
  std::vector<MachineId> machine_ids;
  for (const auto& [machine_id, stored] : cache_.records().machines) {
    if (machine_ids.size() >= kMaxMachinesPerDeletion) break;
    if (stored.record.state == MachineState::deleting) machine_ids.push_back(machine_id);
  }
  return machine_ids;
}

void MachineDeletion::send_committed() {
  if (request_in_flight_ || !election_.is_established_leader()) return;
  const std::vector<MachineId> machine_ids = committed_batch();
  if (machine_ids.empty()) return;
  request_in_flight_ = true;
  cloud_.delete_machines(machine_ids, [this, machine_ids](DeletionOutcome outcome) {
    request_in_flight_ = false;
    if (outcome != DeletionOutcome::deleted || !election_.is_established_leader()) return;
    handle_confirmed(machine_ids);
  });
}

void MachineDeletion::handle_confirmed(const std::vector<MachineId>& machine_ids) {
  const auto& machines = cache_.records().machines;
  const WallTime now = clock_.wall();
  for (const MachineId& machine_id : machine_ids) {
    const auto it = machines.find(machine_id);
    if (it == machines.end()) continue;
    machine_writer_.edit(machine_id, it->second.record.zone, [now](MachineRecord& current) {
      if (current.state != MachineState::deleting) return MachineWriter::EditAction::none;
      current.state = MachineState::gone;
      current.since = now;
      return MachineWriter::EditAction::put;
    });
  }
  machine_writer_.flush();
}

void MachineDeletion::remove_tombstones() {
  const Records& records = cache_.records();
  const WallTime now = clock_.wall();
  for (const auto& [machine_id, stored] : records.machines) {
    const MachineRecord& machine = stored.record;
    const bool expired =
        machine.state == MachineState::gone && now - machine.since >= kTombstoneRetention;
    if (!expired) continue;
    if (records.placed.contains(machine_id) || inventory_.in_last_list(machine_id)) continue;
    machine_writer_.edit(machine_id, machine.zone, [](MachineRecord& current) {
      return current.state == MachineState::gone ? MachineWriter::EditAction::erase
                                                 : MachineWriter::EditAction::none;
    });
  }
}

void MachineDeletion::delete_overdue_without_record() {
  if (clock_.steady() - cache_.fresh_until() < kStateServiceTimeout) {
    deleted_without_record_.clear();
    return;
  }
  if (unrecorded_request_in_flight_ || !overdue_machines_) return;
  std::vector<MachineId> machine_ids;
  for (const MachineId& machine_id : overdue_machines_()) {
    if (machine_ids.size() >= kMaxMachinesPerDeletion) break;
    if (deleted_without_record_.contains(machine_id)) continue;
    spdlog::info("autoscaler: deletion_without_record machine={} reason={}", machine_id.get(),
                 name_of(DeletionReason::holds_cancelled_task));
    machine_ids.push_back(machine_id);
  }
  if (machine_ids.empty()) return;
  unrecorded_request_in_flight_ = true;
  cloud_.delete_machines(machine_ids, [this, machine_ids](DeletionOutcome outcome) {
    unrecorded_request_in_flight_ = false;
    if (outcome != DeletionOutcome::deleted) return;
    deleted_without_record_.insert(machine_ids.begin(), machine_ids.end());
  });
}

}  // namespace marblevale
