#include "store/machine_writer.hpp"

#include <algorithm>

namespace marblevale {

MachineWriter::MachineWriter(WatchCache& cache, RequestPriority rank, Guard guard)
    : cache_(cache), rank_(rank), guard_(std::move(guard)) {}

void MachineWriter::edit(const MachineId& machine_id, const ZoneId& zone, Edit edit,
                         std::function<void()> then) {
  edits_[machine_id] = {zone, std::move(edit), std::move(then), epochs_[zone]};
}

void MachineWriter::forget(const ZoneId& zone) {
  ++epochs_[zone];
  std::erase_if(edits_, [&](const auto& entry) { return entry.second.zone == zone; });
}

void MachineWriter::forget_all() {
  for (auto& [zone, epoch] : epochs_) ++epoch;
  edits_.clear();
}

void MachineWriter::flush() {
  std::map<std::string, std::vector<MachineId>> pages;
  for (const auto& [machine_id, change] : edits_) {
    pages[keys::machine_page(change.zone, machine_id)].push_back(machine_id);
  }
  for (const auto& [page, machine_ids] : pages) {
    if (!writing_.contains(page)) write(page, machine_ids);
  }
}

void MachineWriter::write(const std::string& page, const std::vector<MachineId>& machine_ids) {
  const Records& records = cache_.records();
  MachinePage now;
  ModRevision mod_revision;
  if (const auto stored = records.pages.find(page); stored != records.pages.end()) {
    mod_revision = stored->second.mod_revision;
    for (const MachineId& machine_id : stored->second.record) {
      now.machines.push_back(records.machines.at(machine_id).record);
    }
  }
  Txn txn;
  if (!guard_(txn, edits_.at(machine_ids.front()).zone)) {
    for (const MachineId& machine_id : machine_ids) edits_.erase(machine_id);
    return;
  }
  std::map<MachineId, Change> going;
  for (const MachineId& machine_id : machine_ids) {
    const auto change = edits_.find(machine_id);
    const auto there =
        std::find_if(now.machines.begin(), now.machines.end(),
                     [&](const MachineRecord& m) { return m.machine_id == machine_id; });
    MachineRecord record = there == now.machines.end() ? MachineRecord{} : *there;
    switch (change->second.edit(record)) {
      case EditAction::none:
        break;
      case EditAction::put:
        if (there == now.machines.end()) {
          now.machines.push_back(std::move(record));
        } else {
          *there = std::move(record);
        }
        going.insert(*change);
        break;
      case EditAction::erase:
        if (there != now.machines.end()) {
          now.machines.erase(there);
          going.insert(*change);
        }
        break;
    }
    edits_.erase(change);
  }
  if (going.empty()) return;
  txn.guard(page, mod_revision);
  if (now.machines.empty()) {
    txn.remove(page);
  } else {
    txn.put(page, encode(now, cache_.value_bytes()));
  }
  writing_.insert(page);
  cache_.commit(rank_, std::move(txn), [this, page, going](const CommitResult& r) {
    writing_.erase(page);
    for (const auto& [machine_id, change] : going) {
      if (r.outcome == Outcome::done) {
        if (change.then) change.then();
      } else if (change.epoch == epochs_[change.zone]) {
        // Decided anew from the records at the next flush, unless something newer is wanted by
        // then.
        edits_.try_emplace(machine_id, change);
      }
    }
  });
}

}  // namespace marblevale
