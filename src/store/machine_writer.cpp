#include "store/machine_writer.hpp"

#include <algorithm>

namespace marblevale {

MachineWriter::MachineWriter(Mirror& mirror, Rank rank, Guard guard)
    : mirror_(mirror), rank_(rank), guard_(std::move(guard)) {}

void MachineWriter::edit(const HostId& host, const ZoneId& zone, Edit edit,
                         std::function<void()> then) {
  edits_[host] = {zone, std::move(edit), std::move(then), epochs_[zone]};
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
  std::map<std::string, std::vector<HostId>> pages;
  for (const auto& [host, change] : edits_) {
    pages[keys::machine_page(change.zone, host)].push_back(host);
  }
  for (const auto& [page, hosts] : pages) {
    if (!writing_.contains(page)) write(page, hosts);
  }
}

void MachineWriter::write(const std::string& page, const std::vector<HostId>& hosts) {
  const Records& records = mirror_.records();
  MachinePage now;
  Stamp stamp;
  if (const auto stored = records.pages.find(page); stored != records.pages.end()) {
    stamp = stored->second.stamp;
    for (const HostId& host : stored->second.record) {
      now.machines.push_back(records.machines.at(host).record);
    }
  }
  Txn txn;
  if (!guard_(txn, edits_.at(hosts.front()).zone)) {
    for (const HostId& host : hosts) edits_.erase(host);
    return;
  }
  std::map<HostId, Change> going;
  for (const HostId& host : hosts) {
    const auto change = edits_.find(host);
    const auto there = std::find_if(now.machines.begin(), now.machines.end(),
                                    [&](const MachineRecord& m) { return m.host == host; });
    MachineRecord record = there == now.machines.end() ? MachineRecord{} : *there;
    switch (change->second.edit(record)) {
      case Outcome::none:
        break;
      case Outcome::put:
        if (there == now.machines.end()) {
          now.machines.push_back(std::move(record));
        } else {
          *there = std::move(record);
        }
        going.insert(*change);
        break;
      case Outcome::erase:
        if (there != now.machines.end()) {
          now.machines.erase(there);
          going.insert(*change);
        }
        break;
    }
    edits_.erase(change);
  }
  if (going.empty()) return;
  txn.guard(page, stamp);
  if (now.machines.empty()) {
    txn.remove(page);
  } else {
    txn.put(page, encode(now, mirror_.value_bytes()));
  }
  writing_.insert(page);
  mirror_.commit(rank_, std::move(txn), [this, page, going](const CommitResult& r) {
    writing_.erase(page);
    for (const auto& [host, change] : going) {
      if (r.fate == Fate::done) {
        if (change.then) change.then();
      } else if (change.epoch == epochs_[change.zone]) {
        // Decided anew from the records at the next flush, unless something newer is wanted by
        // then.
        edits_.try_emplace(host, change);
      }
    }
  });
}

}  // namespace marblevale
