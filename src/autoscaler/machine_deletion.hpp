/// Deletion of machines through the cloud. A deletion that the cloud confirms is evidence that all
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

/// A deletion has three steps: the state `deleting` is committed, the cloud is asked until it
/// confirms, and the state `gone` is committed. Any leader carries on from the committed state.
class MachineDeletion {
 public:
  /// The machines of which the deletion can't wait for the state service.
  using OverdueMachines = std::function<std::vector<MachineId>()>;

  MachineDeletion(const Clock& clock, WatchCache& cache, Election& election, Cloud& cloud,
                  const MachineInventory& inventory, MachineWriter& machine_writer);

  /// Has the state `deleting` written, unless it is, or a change of the machine is pending.
  void request(const MachineId& machine_id, DeletionReason reason);
  /// Sends the committed deletions to the cloud, one batch at a time. They were decided under a
  /// valid lease, so any established leader may send them, however old its records are.
  void send_committed();
  /// Removes the records of deleted machines once no late copy of their heartbeats can arrive.
  void remove_tombstones();

  void set_overdue_machines(OverdueMachines overdue_machines) {
    overdue_machines_ = std::move(overdue_machines);
  }
  /// Deletes overdue machines without a record while the state service does not answer.
  ///
  /// `deleting` can't be committed then, and a cancelled task on a machine that hangs would be
  /// there for longer than allowed. The deletion may lose work, but breaks no rule, and it is no
  /// evidence: once the state service is back, the leader records `deleting`, asks the cloud again
  /// (which ignores machines that it does not know) and records `gone`.
  void delete_overdue_without_record();

 private:
  /// A record for a machine that has none, from its entry in the inventory.
  [[nodiscard]] MachineRecord record_from_inventory(const MachineId& machine_id) const;
  /// The same for a machine that is not listed either: from its tasks and its request.
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
  std::set<MachineId> deleted_without_record_;  // in this outage of the state service
};

}  // namespace marblevale
