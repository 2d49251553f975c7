#include "store/machine_writer.hpp"

#include <algorithm>

namespace marblevale {

MachineWriter::MachineWriter(WatchCache& cache, RequestPriority priority, AddGuards add_guards)
    : cache_(cache), priority_(priority), add_guards_(std::move(add_guards)) {}

void MachineWriter::edit(const MachineId& machine_id, const ZoneId& zone, Edit edit,
                         std::function<void()> then) {
  pending_[machine_id] = {zone, std::move(edit), std::move(then), generations_[zone]};
}

void MachineWriter::discard_edits(const ZoneId& zone) {
  ++generations_[zone];
  std::erase_if(pending_, [&](const auto& entry) { return entry.second.zone == zone; });
}

void MachineWriter::discard_all_edits() {
  for (auto& [zone, generation] : generations_) ++generation;
  pending_.clear();
}

void MachineWriter::flush() {
  std::map<std::string, std::vector<MachineId>> pages;
  for (const auto& [machine_id, edit] : pending_) {
    pages[keys::machine_page(edit.zone, machine_id)].push_back(machine_id);
  }
  for (const auto& [page, machine_ids] : pages) {
    if (!in_flight_.contains(page)) write(page, machine_ids);
  }
}

MachinePage MachineWriter::stored_page(const std::string& key) const {
  const Records& records = cache_.records();
  MachinePage page;
  const auto stored = records.pages.find(key);
  if (stored == records.pages.end()) return page;
  for (const MachineId& machine_id : stored->second.record) {
    page.machines.push_back(records.machines.at(machine_id).record);
  }
  return page;
}

ModRevision MachineWriter::page_revision(const std::string& key) const {
  const auto& pages = cache_.records().pages;
  const auto stored = pages.find(key);
  return stored == pages.end() ? ModRevision{} : stored->second.mod_revision;
}

void MachineWriter::write(const std::string& key, const std::vector<MachineId>& machine_ids) {
  Transaction txn;
  if (!add_guards_(txn, pending_.at(machine_ids.front()).zone)) {
    for (const MachineId& machine_id : machine_ids) pending_.erase(machine_id);
    return;
  }
  const ModRevision mod_revision = page_revision(key);
  MachinePage page = stored_page(key);
  const PendingEdits edits = apply_edits(machine_ids, page);
  if (edits.empty()) return;
  txn.guard(key, mod_revision);
  if (page.machines.empty()) {
    txn.remove(key);
  } else {
    txn.put(key, encode(page, cache_.record_size()));
  }
  in_flight_.insert(key);
  cache_.commit(priority_, std::move(txn), [this, key, edits](const CommitResult& result) {
    in_flight_.erase(key);
    handle_result(edits, result.outcome);
  });
}

MachineWriter::PendingEdits MachineWriter::apply_edits(const std::vector<MachineId>& machine_ids,
                                                       MachinePage& page) {
  PendingEdits edits;
  for (const MachineId& machine_id : machine_ids) {
    const auto pending = pending_.find(machine_id);
    if (apply_edit(pending->second.edit, machine_id, page)) edits.insert(*pending);
    pending_.erase(pending);
  }
  return edits;
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

void MachineWriter::handle_result(const PendingEdits& edits, Outcome outcome) {
  for (const auto& [machine_id, edit] : edits) {
    if (outcome == Outcome::done) {
      if (edit.then) edit.then();
    } else if (edit.generation == generations_[edit.zone]) {
      // The next flush applies the edit to the current record, unless a newer edit is pending.
      pending_.try_emplace(machine_id, edit);
    }
  }
}

}  // namespace marblevale
