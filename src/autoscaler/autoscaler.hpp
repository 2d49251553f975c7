/// The leader's duties towards the cloud: machine types, the machine list, scale out, scale in, and
/// the deletion of unhealthy machines.
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

/// Connects the modules of this layer and runs them once per reconcile interval, in a fixed order,
/// while this controller leads. Every commit is guarded by the term.
class Autoscaler {
 public:
  Autoscaler(Loop& loop, const Clock& clock, const Settings& settings, WatchCache& cache,
             Election& election, Cloud& cloud);

  /// Starts the reconcile timer.
  void begin();
  /// Gives the machines held here on which a cancelled task has been for too long; they are deleted
  /// without a record while the state service is unavailable, whether or not this controller leads.
  void set_overdue_machines(MachineDeletion::OverdueMachines overdue_machines) {
    deletion_.set_overdue_machines(std::move(overdue_machines));
  }
  /// Machines that are provisioned and not yet in a record.
  [[nodiscard]] std::vector<BootingMachine> booting() const { return provisioner_.booting(); }

  /// The demand that the last round left unmet, what each team may still use, and the machines that
  /// the plan has a use for.
  void update_demand(std::vector<UnmetDemand> unmet_demands,
                     std::map<TeamId, Resources> team_resources,
                     std::set<MachineId> planned_machines);
  /// Deletes the machine as soon as its record and the cloud allow.
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
  ModRevision term_;  // of the last reconciliation; none: this controller did not lead
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
