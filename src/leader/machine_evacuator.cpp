#include "leader/machine_evacuator.hpp"

#include <string>

#include "scheduling/machine_evacuation.hpp"

namespace marblevale {

MachineEvacuator::MachineEvacuator(const Clock& clock, const WatchCache& cache, Releaser& releaser,
                                   GuaranteeWriter& guarantee_writer)
    : clock_(clock), cache_(cache), releaser_(releaser), guarantee_writer_(guarantee_writer) {}

void MachineEvacuator::run() {
  for (const auto& [job_id, evacuation] : find_evacuations(cache_.records(), clock_.wall())) {
    const StopOrder order{evacuation.grace_period, StopReason(evacuation.reason)};
    bool stopped = false;
    for (const auto& [number, indices] : evacuation.tasks) {
      stopped = releaser_.stop_tasks({job_id, number}, indices, order) || stopped;
    }
    // Each stop is noted once. A note in every round would displace the job's other notes.
    if (stopped) {
      guarantee_writer_.note(job_id,
                             std::string("stopped to go on elsewhere: ") + evacuation.reason);
    }
  }
}

}  // namespace marblevale
