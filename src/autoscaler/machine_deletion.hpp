/// Deletes machines through the cloud. A deletion that the cloud has confirmed is evidence that all
/// tasks of the machine have ended.
#pragma once

#include <functional>
#include <set>
#include <vector>

#include "autoscaler/cloud_client.hpp"
#include "autoscaler/deletion_reason.hpp"
#include "autoscaler/machine_inventory.hpp"
#include "election/election.hpp"
#include "store/machine_writer.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// A deletion has three steps: commit the state `deleting`, send the deletion to the cloud until
/// the cloud confirms it, commit the state `gone`. After a change of leader the new leader
/// continues from the committed state.
class MachineDeletion {
 public:
  /// Returns the machines whose deletion must not wait for the state service.
  using OverdueMachines = std::function<std::vector<MachineId>()>;

  MachineDeletion(const Clock& clock, WatchCache& cache, Election& election, Cloud& cloud,
                  const MachineInventory& inventory, MachineWriter& machine_writer);

  /// Writes the state `deleting`, unless the machine is already `deleting` or `gone`, or an edit of
  /// its record is pending.
  void request(const MachineId& machine_id, DeletionReason reason);
  /// Sends the committed deletions to the cloud, one batch at a time. They were decided under a
  /// valid lease, so an established leader may send them even if its records are stale.
  void send_committed();
  /// Erases the records of deleted machines once no delayed heartbeat of theirs can arrive, no
  /// task is placed on them and the cloud's last list lacks them.
  void remove_tombstones();

  void set_overdue_machines(OverdueMachines overdue_machines) {
    overdue_machines_ = std::move(overdue_machines);
  }
  /// Deletes overdue machines without recording the deletion, while the state service does not
  /// answer.
  ///
  /// `deleting` can't be committed during the outage, and a cancelled task on a hung machine would
  /// run for longer than allowed. The deletion may lose work, but it breaks no rule. It does not
  /// count as evidence that the tasks have ended: once the state service is back, the leader
  /// records `deleting`, sends the deletion again (the cloud ignores machines that it does not
  /// know) and records `gone`.
  void delete_overdue_without_record();

 private:
  /// Builds a record for a machine that has none, from its entry in the inventory. If the inventory
  /// has no entry either, the record is built from tasks and provisioning requests.
  [[nodiscard]] MachineRecord record_from_inventory(const MachineId& machine_id) const;
  /// Builds a record from the zone of the machine's tasks and from the provisioning request that
  /// created the machine, as far as these are known.
  [[nodiscard]] MachineRecord record_from_tasks_and_requests(const MachineId& machine_id) const;
  [[nodiscard]] std::vector<MachineId> committed_batch() const;
  void handle_confirmed(const std::vector<MachineId>& machine_ids);

  const Clock& clock_;
  WatchCache& cache_;
  Election& election_;
  Cloud& cloud_;
  const MachineInventory& inventory_;
  MachineWriter& machine_writer_;
  bool request_in_flight_ = false;
  OverdueMachines overdue_machines_;
  bool unrecorded_request_in_flight_ = false;
  std::set<MachineId> deleted_without_record_;  // during the current outage of the state service
};

}  // namespace marblevale
