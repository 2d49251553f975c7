/// Keeps a copy of the cloud's machine list and decides from it which machines have vanished. The
/// cloud's lists may be stale, so a machine's absence from a single list does not prove that the
/// machine is gone.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>

#include "autoscaler/cloud_client.hpp"
#include "config/settings.hpp"

namespace marblevale {

/// Reads the machine list page by page, at a rate that leaves requests for provisioning and
/// deletions. A list may be stale by `Settings::list_lag`, so a machine that is missing from a list
/// may still exist. A machine is reported as vanished only when a complete list lacks it and that
/// list must describe a later state than the machine's last listing.
class MachineInventory {
 public:
  struct Entry {
    ListedMachine machine;
    SteadyTime last_listed;
  };
  using VanishedHandler = std::function<void(const MachineId&)>;

  MachineInventory(const Clock& clock, const Settings& settings, Cloud& cloud,
                   VanishedHandler on_vanished);

  /// Discards all listed machines, because a new term relies only on lists requested during the
  /// term.
  void reset();
  /// Starts a read of the list if one is due and none is in progress.
  void refresh_if_due();

  /// All machines that have been listed since the reset and have not vanished.
  [[nodiscard]] const std::map<MachineId, Entry>& entries() const { return entries_; }
  /// Null for a machine that has not been listed since the reset, or has vanished.
  [[nodiscard]] const Entry* find(const MachineId& machine_id) const;
  /// True if the last complete list contains the machine.
  [[nodiscard]] bool in_last_list(const MachineId& machine_id) const {
    return last_list_.contains(machine_id);
  }
  /// True if the last complete list was requested after the reset and lacks the machine.
  [[nodiscard]] bool missing_since_reset(const MachineId& machine_id) const {
    return !in_last_list(machine_id) && last_list_requested_at_ > reset_at_;
  }
  /// The time at which the last complete list was requested.
  [[nodiscard]] SteadyTime last_list_requested_at() const { return last_list_requested_at_; }
  /// The maximum age, at the time of a list's request, of the state that the list describes.
  [[nodiscard]] Duration max_list_age() const;

 private:
  /// A read of the list that is in progress.
  struct ListRead {
    SteadyTime requested_at;
    std::set<MachineId> machine_ids;
    int pages = 0;
  };

  [[nodiscard]] Duration refresh_interval() const;
  void read_page(const std::optional<MachineId>& after, ListRead read);
  void add_page(const MachineList& page, ListRead read);
  void complete(ListRead read);

  const Clock& clock_;
  const Settings& settings_;
  Cloud& cloud_;
  VanishedHandler on_vanished_;
  bool read_in_progress_ = false;
  SteadyTime read_started_at_ = kLongAgo;
  SteadyTime reset_at_{};
  std::map<MachineId, Entry> entries_;
  std::set<MachineId> last_list_;
  SteadyTime last_list_requested_at_{};
  int last_list_pages_ = 1;
};

}  // namespace marblevale
