#include "store/machine_writer.hpp"

#include <algorithm>

namespace marblevale {

MachineWriter::MachineWriter(WatchCache& cache, RequestPriority rank, AddGuards add_guards)
    : cache_(cache), rank_(rank), add_guards_(std::move(add_guards)) {}

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

void MachineWriter::write(const std::string& key, const std::vector<MachineId>& machine_ids) {
  const Records& records = cache_.records();
  MachinePage page;
  ModRevision mod_revision;
  if (const auto stored = records.pages.find(key); stored != records.pages.end()) {
    mod_revision = stored->second.mod_revision;
    for (const MachineId& machine_id : stored->second.record) {
      page.machines.push_back(records.machines.at(machine_id).record);
    }
  }
  Transaction txn;
  if (!add_guards_(txn, edits_.at(machine_ids.front()).zone)) {
    for (const MachineId& machine_id : machine_ids) edits_.erase(machine_id);
    return;
  }
  const Changes changes = apply_edits(machine_ids, page);
  if (changes.empty()) return;
  txn.guard(key, mod_revision);
  if (page.machines.empty()) {
    txn.remove(key);
  } else {
    txn.put(key, encode(page, cache_.record_size()));
  }
  writing_.insert(key);
  cache_.commit(rank_, std::move(txn), [this, key, changes](const CommitResult& result) {
    writing_.erase(key);
    handle_result(changes, result.outcome);
  });
}

MachineWriter::Changes MachineWriter::apply_edits(const std::vector<MachineId>& machine_ids,
                                                  MachinePage& page) {
  Changes changes;
  for (const MachineId& machine_id : machine_ids) {
    const auto change = edits_.find(machine_id);
    if (apply_edit(change->second.edit, machine_id, page)) changes.insert(*change);
    edits_.erase(change);
  }
  return changes;
}

bool MachineWriter::apply_edit(const Edit& edit, const MachineId& machine_id, MachinePage& page) {
  const auto stored =
      std::find_if(page.machines.begin(), page.machines.end(),
                   [&](const MachineRecord& machine) { return machine.machine_id == machine_id; });
  const bool exists = stored != page.machines.end();
  MachineRecord record = exists ? *stored : MachineRecord{};
  switch (edit(record)) {
    case EditAction::none:
      return false;
    case EditAction::put:
      if (exists) {
        *stored = std::move(record);
      } else {
        page.machines.push_back(std::move(record));
      }
      return true;
    case EditAction::erase:
      if (exists) page.machines.erase(stored);
      return exists;
  }
  return false;
}

void MachineWriter::handle_result(const Changes& changes, Outcome outcome) {
  for (const auto& [machine_id, change] : changes) {
    if (outcome == Outcome::done) {
      if (change.then) change.then();
    } else if (change.epoch == epochs_[change.zone]) {
      // Decided anew from the records at the next flush, unless something newer is wanted by then.
      edits_.try_emplace(machine_id, change);
    }
  }
}

}  // namespace marblevale
