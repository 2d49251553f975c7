/// The cloud's machine list, and what it proves.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>

#include "autoscaler/cloud_client.hpp"
#include "config/settings.hpp"

namespace marblevale {

/// Reads the machine list page by page at a rate that leaves calls for provisioning and deletions.
/// A list may be stale by `Settings::list_lag`, so a machine that is missing from one list may
/// exist: it is reported as vanished only by a list that must be newer than its last listing.
class MachineInventory {
 public:
  struct Entry {
    ListedMachine machine;
    SteadyTime last_listed;
  };
  using VanishedHandler = std::function<void(const MachineId&)>;

  MachineInventory(const Clock& clock, const Settings& settings, Cloud& cloud,
                   VanishedHandler on_vanished);

  /// Forgets what was listed: a new term relies on lists that it has requested itself.
  void reset();
  /// Starts to read the list when it is due, unless a read is in progress.
  void refresh_if_due();

  /// The machines that are listed, or may be listed yet.
  [[nodiscard]] const std::map<MachineId, Entry>& entries() const { return entries_; }
  /// Nullptr for a machine that has not been listed, or has vanished.
  [[nodiscard]] const Entry* find(const MachineId& machine_id) const;
  /// True when the last complete list has the machine.
  [[nodiscard]] bool in_last_list(const MachineId& machine_id) const {
    return last_list_.contains(machine_id);
  }
  /// True when a complete list was requested after the reset and lacks the machine.
  [[nodiscard]] bool missing_since_reset(const MachineId& machine_id) const {
    return !in_last_list(machine_id) && last_list_requested_at_ > reset_at_;
  }
  /// When the last complete list was requested.
  [[nodiscard]] SteadyTime last_list_requested_at() const { return last_list_requested_at_; }
  /// How much older than its request the state that a list describes may be.
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
