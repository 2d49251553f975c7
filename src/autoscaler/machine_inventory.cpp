#include "autoscaler/machine_inventory.hpp"

#include <algorithm>
#include <vector>

namespace marblevale {

namespace {

constexpr Duration kMinRefreshInterval{2000};
constexpr double kRefreshIntervalLags = 0.5;  // multiple of the list's lag
/// Share of the cloud's request rate for list reads, so that provisioning and deletions do not wait
/// for lists.
constexpr double kListRateShare = 0.3;
/// Multiple of the list's lag. A list may describe an older state than the previous list.
constexpr int kMaxListAgeLags = 2;

}  // namespace

MachineInventory::MachineInventory(const Clock& clock, const Settings& settings, Cloud& cloud,
                                   VanishedHandler on_vanished)
    : clock_(clock), settings_(settings), cloud_(cloud), on_vanished_(std::move(on_vanished)) {}

void MachineInventory::reset() {
  reset_at_ = clock_.steady();
  entries_.clear();
  last_list_.clear();
}

const MachineInventory::Entry* MachineInventory::find(const MachineId& machine_id) const {
  const auto it = entries_.find(machine_id);
  return it == entries_.end() ? nullptr : &it->second;
}

Duration MachineInventory::max_list_age() const { return settings_.list_lag * kMaxListAgeLags; }

Duration MachineInventory::refresh_interval() const {
  // Each page costs one request, so a list of many pages is read less often.
  const Duration by_rate = from_seconds(last_list_pages_ / (settings_.cloud_rps * kListRateShare));
  return std::max({kMinRefreshInterval, scaled(settings_.list_lag, kRefreshIntervalLags), by_rate});
}

void MachineInventory::refresh_if_due() {
  const SteadyTime now = clock_.steady();
  if (read_in_progress_ || now - read_started_at_ < refresh_interval()) return;
  read_in_progress_ = true;
  read_started_at_ = now;
  read_page(std::nullopt, {now, {}, 0});
}

void MachineInventory::read_page(const std::optional<MachineId>& after, ListRead read) {
  cloud_.list_machines(after,
                       [this, read = std::move(read)](const std::optional<MachineList>& page) {
                         if (!page) {
                           read_in_progress_ = false;
                           return;
                         }
                         add_page(*page, read);
                       });
}

void MachineInventory::add_page(const MachineList& page, ListRead read) {
  ++read.pages;
  for (const ListedMachine& machine : page.machines) {
    entries_[machine.machine_id] = {machine, clock_.steady()};
    read.machine_ids.insert(machine.machine_id);
  }
  if (page.has_next && !page.machines.empty()) {
    read_page(page.machines.back().machine_id, std::move(read));
    return;
  }
  complete(std::move(read));
}

void MachineInventory::complete(ListRead read) {
  read_in_progress_ = false;
  last_list_pages_ = read.pages;
  last_list_requested_at_ = read.requested_at;
  last_list_ = std::move(read.machine_ids);
  const SteadyTime oldest_list_state = read.requested_at - max_list_age();
  std::vector<MachineId> vanished;
  for (const auto& [machine_id, entry] : entries_) {
    if (!last_list_.contains(machine_id) && oldest_list_state > entry.last_listed) {
      vanished.push_back(machine_id);
    }
  }
  for (const MachineId& machine_id : vanished) {
    entries_.erase(machine_id);
    on_vanished_(machine_id);
  }
}

}  // namespace marblevale
