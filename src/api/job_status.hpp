// Derives a job's status as users see it from the committed records, and formats it as an answer.
#pragma once

#include <cstdint>
#include <string>

#include "api/job_lookup.hpp"
#include "api/user_answer.hpp"
#include "records/record_set.hpp"

namespace marblevale {

enum class JobStatus { queued, running, done, cancelled };

[[nodiscard]] const char* name_of(JobStatus status);

/// The status of an unfinished job: `cancelled` if the job is cancelled, else `running` if
/// `running_tasks` is above 0, else `queued`.
[[nodiscard]] JobStatus status_of(const JobRecord& job, std::uint64_t running_tasks);
[[nodiscard]] JobStatus status_of(const FinalRecord& job);

/// Tasks of an unfinished job by state. For display only, because the watch cache may lag.
struct TaskCounts {
  std::uint64_t done = 0;
  std::uint64_t bound = 0;
  std::uint64_t placed = 0;  // released or bound
  std::uint64_t stopping = 0;
};

/// Calls `visit(const TaskRecord&)` for each task of the job.
template <typename Visit>
void for_each_task(const Records& records, const JobId& job_id, Visit visit) {
  for_each_slice(records, job_id, [&visit](const Versioned<SliceRecord>& slice) {
    for (const TaskRecord& task : slice.record.tasks) visit(task);
  });
}

[[nodiscard]] TaskCounts count_tasks(const Records& records, const JobId& job_id);

/// The answer to a submission or cancellation: the status alone.
[[nodiscard]] UserAnswer status_answer(const JobId& job_id, JobStatus status);
/// The answer to a status query: the status with counts of tasks.
[[nodiscard]] UserAnswer status_answer(const Records& records, const JobRecord& job);
[[nodiscard]] UserAnswer status_answer(const FinalRecord& job);
/// The answer to a status query from the result of a lookup; `if_unknown` if the job was never
/// accepted.
[[nodiscard]] UserAnswer status_answer(const Records& records, const LookupResult& result,
                                       const UserAnswer& if_unknown);

}  // namespace marblevale
