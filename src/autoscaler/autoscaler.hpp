/// Matches the cloud's machines to the demand: reads the machine types and the machine list, scales
/// out and in, and deletes unhealthy machines. Only the leader does this. The exception is a
/// machine with an overdue cancelled task: any controller may delete it while the state service is
/// unavailable.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "autoscaler/cloud_client.hpp"
#include "autoscaler/deletion_reason.hpp"
#include "autoscaler/machine_deletion.hpp"
#include "autoscaler/machine_health.hpp"
#include "autoscaler/machine_inventory.hpp"
#include "autoscaler/machine_type_catalog.hpp"
#include "autoscaler/provisioner.hpp"
#include "autoscaler/scale_in.hpp"
#include "config/settings.hpp"
#include "election/election.hpp"
#include "store/machine_writer.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Owns the modules of this layer and runs them in a fixed order once per reconcile interval while
/// this controller leads. Every commit is guarded by the leader's term, so that it fails once
/// another controller leads.
class Autoscaler {
 public:
  Autoscaler(Loop& loop, const Clock& clock, const Settings& settings, WatchCache& cache,
             Election& election, Cloud& cloud);

  /// Starts the reconcile timer.
  void begin();
  /// `overdue_machines` returns the machines in this controller's shards on which a cancelled task
  /// has not ended within the allowed time. They are deleted without a record while the state
  /// service is unavailable, whether or not this controller leads.
  void set_overdue_machines(MachineDeletion::OverdueMachines overdue_machines) {
    deletion_.set_overdue_machines(std::move(overdue_machines));
  }
  /// Machines that are provisioned but have no record yet.
  [[nodiscard]] std::vector<BootingMachine> booting() const { return provisioner_.booting(); }

  /// Called after each planning round. `unmet_demands`: demand that the round could not place.
  /// `team_resources`: resources that each team may still use. `planned_machines`: machines that
  /// the plan uses, which therefore do not count as idle.
  void update_demand(std::vector<UnmetDemand> unmet_demands,
                     std::map<TeamId, Resources> team_resources,
                     std::set<MachineId> planned_machines);
  /// Starts the deletion of the machine: the state `deleting` is committed first, and then the
  /// cloud is asked until it confirms.
  void request_deletion(const MachineId& machine_id, DeletionReason reason) {
    deletion_.request(machine_id, reason);
  }

 private:
  void reconcile();
  void begin_term();
  void delete_vanished(const MachineId& machine_id);
  void check_machines();

  Metrics& metrics_;
  WatchCache& cache_;
  Election& election_;
  ModRevision term_;  // of the last reconciliation; 0 if this controller did not lead then
  MachineWriter machine_writer_;
  MachineTypeCatalog catalog_;
  MachineInventory inventory_;
  MachineDeletion deletion_;
  Provisioner provisioner_;
  MachineHealth health_;
  ScaleIn scale_in_;
  Timer reconcile_timer_;
};

}  // namespace marblevale
