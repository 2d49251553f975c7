/// Scales in: deletes machines that have been idle for longer than a timeout. Some idle machines
/// are kept for longer, so that the next jobs need not wait for a boot.
#pragma once

#include <map>
#include <set>

#include "autoscaler/machine_deletion.hpp"
#include "config/settings.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Keeps a share of the machines as spares for the whole idle timeout, so that the next jobs start
/// without waiting for a boot. Idle machines beyond that share are deleted after a shorter timeout.
class ScaleIn {
 public:
  ScaleIn(const Clock& clock, const Settings& settings, WatchCache& cache,
          MachineDeletion& deletion);

  /// Restarts the idle timers of all machines.
  void reset() { idle_since_.clear(); }
  /// Sets the machines that the plan uses. They do not count as idle.
  void set_planned_machines(std::set<MachineId> planned_machines) {
    planned_machines_ = std::move(planned_machines);
  }
  /// Updates the idle time of a machine that is in service.
  void observe(const MachineId& machine_id, SteadyTime now);
  void delete_idle();

 private:
  void forget_out_of_service();
  [[nodiscard]] std::size_t spare_count() const;

  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  MachineDeletion& deletion_;
  std::map<MachineId, SteadyTime> idle_since_;
  std::set<MachineId> planned_machines_;
};

}  // namespace marblevale
