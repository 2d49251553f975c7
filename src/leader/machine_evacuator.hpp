/// Graceful eviction: stops the tasks on machines that will soon go away, so that the tasks save
/// their progress and continue on other machines.
#pragma once

#include "leader/guarantee_writer.hpp"
#include "leader/releaser.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Runs in each round before planning, so that the stopped tasks are planned elsewhere without
/// delay.
class MachineEvacuator {
 public:
  MachineEvacuator(const Clock& clock, const WatchCache& cache, Releaser& releaser,
                   GuaranteeWriter& guarantee_writer);

  /// Commits the stops that `find_evacuations` returns, with a note for each affected job.
  void run();

 private:
  const Clock& clock_;
  const WatchCache& cache_;
  Releaser& releaser_;
  GuaranteeWriter& guarantee_writer_;
};

}  // namespace marblevale
