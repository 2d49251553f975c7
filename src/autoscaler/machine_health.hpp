/// Handles unhealthy machines: silent, suspect, quarantined, draining, or missing from the cloud's
/// machine list. A silent machine's tasks count as ended only once the machine is deleted.
#pragma once

#include <map>
#include <set>

#include "autoscaler/machine_deletion.hpp"
#include "autoscaler/machine_inventory.hpp"
#include "autoscaler/machine_type_catalog.hpp"
#include "config/settings.hpp"
#include "store/machine_writer.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// `in_service`: the machine is up and healthy, whether it has tasks or is idle.
enum class Availability { in_service, out_of_service };

/// Requests the deletion of unhealthy machines and resolves suspect machines. A machine's silence
/// is no evidence that its tasks have ended; only its deletion is.
class MachineHealth {
 public:
  /// Cluster-wide facts that the checks of all machines share; computed once per reconciliation.
  struct ClusterSnapshot {
    SteadyTime steady_now;
    WallTime wall_now;
    std::size_t silent_machines = 0;
    std::map<MachineId, std::set<JobId>> failed_jobs_by_suspect;
  };

  MachineHealth(const Clock& clock, const Settings& settings, WatchCache& cache,
                const MachineInventory& inventory, const MachineTypeCatalog& catalog,
                MachineDeletion& deletion, MachineWriter& machine_writer);

  [[nodiscard]] ClusterSnapshot snapshot() const;
  /// Checks one machine that has a record, and requests its deletion or resolves its suspect state
  /// when due.
  Availability check(const MachineRecord& machine, const ClusterSnapshot& snapshot);
  /// Deletes listed machines without a record whose provisioning failed, or which are older than a
  /// multiple of their boot timeout.
  void check_unrecorded();

 private:
  [[nodiscard]] bool silence_timed_out(const MachineRecord& machine,
                                       const ClusterSnapshot& snapshot) const;
  [[nodiscard]] Duration silence_timeout(const MachineId& machine_id,
                                         std::size_t silent_machines) const;
  /// True for a machine with a replica of a service job that is not cancelled.
  [[nodiscard]] bool holds_replica(const MachineId& machine_id) const;
  [[nodiscard]] bool up_but_unlisted(const MachineRecord& machine,
                                     const ClusterSnapshot& snapshot) const;
  [[nodiscard]] bool drained(const MachineId& machine_id) const;
  void resolve_suspect(const MachineRecord& machine, const std::set<JobId>& failed_jobs);

  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  const MachineInventory& inventory_;
  const MachineTypeCatalog& catalog_;
  MachineDeletion& deletion_;
  MachineWriter& machine_writer_;
};

}  // namespace marblevale
