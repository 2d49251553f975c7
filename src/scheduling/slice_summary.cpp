#include "scheduling/slice_summary.hpp"

#include <algorithm>

namespace marblevale {

SliceSummary summarize(const SliceRecord& slice) {
  SliceSummary summary;
  for (const TaskRecord& task : slice.tasks) {
    const bool done = task.state == TaskState::done;
    if (task.state == TaskState::idle) ++summary.idle;
    if (done) ++summary.done;
    summary.has_begun = summary.has_begun || task.attempt != Attempt{};
    summary.has_progressed = summary.has_progressed || done || task.progress > Duration{0};
    if (task.failure_count > 0) summary.failed_on.push_back(task.failed_on);
    if (!task.placed()) continue;
    count_task(summary.placed_tasks, task.zone);
    if (task.running_since != WallTime{}) {
      summary.first_run = std::min(summary.first_run, task.running_since);
    }
  }
  return summary;
}

const SliceSummary& SliceSummaryCache::get(const SliceRecord& slice, SliceVersion version) {
  std::vector<Entry>& entries = by_job_[slice.job_id];
  if (entries.size() <= slice.number) entries.resize(slice.number + std::size_t{1});
  Entry& entry = entries[slice.number];
  if (!version.is_known() || entry.version != version) entry = {version, summarize(slice)};
  return entry.summary;
}

void SliceSummaryCache::retain_only(const Records& records) {
  std::erase_if(by_job_, [&](const auto& entry) { return !records.jobs.contains(entry.first); });
}

}  // namespace marblevale
