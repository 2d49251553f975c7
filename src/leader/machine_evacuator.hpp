/// Graceful eviction: stops the tasks on machines that are about to go, so that they save their
/// progress and go on elsewhere.
#pragma once

#include "leader/guarantee_writer.hpp"
#include "leader/releaser.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Runs in each round, before planning, so that what it stops is planned elsewhere early.
class MachineEvacuator {
 public:
  MachineEvacuator(const Clock& clock, const WatchCache& cache, Releaser& releaser,
                   GuaranteeWriter& guarantee_writer);

  /// Commits the stops that `find_evacuations` decides on, with a note for each job.
  void run();

 private:
  const Clock& clock_;
  const WatchCache& cache_;
  Releaser& releaser_;
  GuaranteeWriter& guarantee_writer_;
};

}  // namespace marblevale
