/// Machines that need attention: silent, suspect, quarantined, draining, or gone from the cloud's
/// list.
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

/// `in_service`: up, and nothing speaks against it; it may be used, or be idle.
enum class Availability { in_service, out_of_service };

/// Decides which unhealthy machines are deleted, and resolves suspect ones. Silence is no evidence
/// that a machine's tasks have ended; only the deletion is.
class MachineHealth {
 public:
  /// What a check of one machine needs to know about all of them.
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
  /// Checks one machine that has a record.
  Availability check(const MachineRecord& machine, const ClusterSnapshot& snapshot);
  /// Deletes listed machines without a record that have failed, or that nobody expects.
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
