// Records of the largest size that a deployment writes, and the lowered limit on the size of a
// value that the compact forms of these records must fit.
#pragma once

#include <string>

#include "records/records.hpp"

namespace marblevale::testing {

inline constexpr std::size_t kLoweredBytes = 2048;
inline constexpr RecordSize kLoweredSize{kLoweredBytes, true};

/// A slice of the largest size: each task is bound, has failed before, and is being preempted.
inline SliceRecord largest_slice() {
  SliceRecord slice;
  slice.job_id = JobId("req-" + std::string(32, 'x'));
  slice.number = 1500;
  slice.tasks.resize(kSliceTasks);
  for (std::size_t i = 0; i < slice.tasks.size(); ++i) {
    const auto n = static_cast<std::int64_t>(i);
    TaskRecord& t = slice.tasks[i];
    t.state = TaskState::bound;
    t.attempt = Attempt(100 + i);
    t.zone = ZoneId(i % 2 == 0 ? "laurentides" : "mauricie");
    t.machine_id = MachineId("vm-0" + std::to_string(12'345 + i));
    t.failed_on = MachineId("vm-0" + std::to_string(54'321 + i));
    t.epoch = WorkerEpoch(2 + i);
    t.since = from_unix_milliseconds(1'800'000'000'000 + n * 999'123);
    t.running_since = t.since + Duration{95'000};
    t.progress = Duration{1'234'567};
    t.failure_count = 9;
    t.stop = StopOrder{Duration{12'345},
                       StopReason("displaced for req-" + std::to_string(i) + " (guarantee)")};
  }
  return slice;
}

}  // namespace marblevale::testing
