/// Scale in: deletion of machines that have been idle for long enough.
#pragma once

#include <map>
#include <set>

#include "autoscaler/machine_deletion.hpp"
#include "config/settings.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Keeps a share of the machines idle, so that the next jobs start without a boot; idle machines
/// beyond that share are deleted after a shorter time.
class ScaleIn {
 public:
  ScaleIn(const Clock& clock, const Settings& settings, WatchCache& cache,
          MachineDeletion& deletion);

  /// Forgets how long machines have been idle.
  void reset() { idle_since_.clear(); }
  /// Machines that the plan has a use for; they do not count as idle.
  void set_planned_machines(std::set<MachineId> planned_machines) {
    planned_machines_ = std::move(planned_machines);
  }
  /// Notes whether a machine that is in service is idle now.
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
