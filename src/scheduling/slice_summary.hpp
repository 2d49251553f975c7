/// Summaries of slices: what the queue needs of their tasks, so that a slice that has not changed
/// is not read task by task again. Pure.
#pragma once

#include <unordered_map>
#include <vector>

#include "scheduling/current_slices.hpp"
#include "scheduling/profile.hpp"

namespace marblevale {

/// The tasks of one slice in figures.
struct SliceSummary {
  std::vector<ZoneTaskCount> placed_tasks;
  std::vector<MachineId> failed_on;      // machines of the tasks' last failures, some repeatedly
  WallTime first_run = WallTime::max();  // earliest start of a run of a placed task
  std::uint32_t idle = 0;
  std::uint32_t done = 0;
  bool has_begun = false;
  bool has_progressed = false;  // a task is done or has saved a checkpoint
};

[[nodiscard]] SliceSummary summarize(const SliceRecord& slice);

/// Keeps the summaries of slices until the slices change.
class SliceSummaryCache {
 public:
  /// Returns the summary of the slice; valid until the next call for the same job.
  const SliceSummary& get(const SliceRecord& slice, SliceVersion version);
  /// Forgets the jobs that no longer have a record.
  void retain_only(const Records& records);
  void clear() { by_job_.clear(); }

 private:
  struct Entry {
    SliceVersion version;
    SliceSummary summary;
  };
  std::unordered_map<JobId, std::vector<Entry>> by_job_;  // by slice number
};

}  // namespace marblevale
