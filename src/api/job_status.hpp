// A job's status as users see it, and counts of its tasks.
#pragma once

#include <cstdint>
#include <string>

#include "api/job_lookup.hpp"
#include "api/user_answer.hpp"
#include "records/record_set.hpp"

namespace marblevale {

enum class JobStatus { queued, running, done, cancelled };

[[nodiscard]] const char* name_of(JobStatus status);

/// Of an unfinished job; `running_tasks` decides between queued and running.
[[nodiscard]] JobStatus status_of(const JobRecord& job, std::uint64_t running_tasks);
[[nodiscard]] JobStatus status_of(const FinalRecord& job);

/// Tasks of an unfinished job by state, for display: the watched copy that they are counted in may
/// lag.
struct TaskCounts {
  std::uint64_t done = 0;
  std::uint64_t bound = 0;
  std::uint64_t placed = 0;  // released or bound
  std::uint64_t stopping = 0;
};

/// Calls `visit(const TaskRecord&)` for each task of the job.
template <typename Visit>
void for_each_task(const Records& records, const JobId& job_id, Visit visit) {
  for (auto it = records.slices.lower_bound({job_id, 0});
       it != records.slices.end() && it->first.job_id == job_id; ++it) {
    for (const TaskRecord& task : it->second.record.tasks) visit(task);
  }
}

[[nodiscard]] TaskCounts count_tasks(const Records& records, const JobId& job_id);

/// The status alone, as submissions and cancellations are answered.
[[nodiscard]] UserAnswer status_answer(const JobId& job_id, JobStatus status);
/// The status with counts of tasks, as status queries are answered.
[[nodiscard]] UserAnswer status_answer(const Records& records, const JobRecord& job);
[[nodiscard]] UserAnswer status_answer(const FinalRecord& job);
/// The status that a lookup found, or `if_unknown` for a job that was never accepted.
[[nodiscard]] UserAnswer status_answer(const Records& records, const LookupResult& result,
                                       const UserAnswer& if_unknown);

}  // namespace marblevale
