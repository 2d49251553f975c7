#include "api/job_status.hpp"

#include "protocol/json.hpp"

namespace marblevale {

namespace {

json::Writer& write_status(json::Writer& out, const JobId& job_id, JobStatus status) {
  return out.open().put("uid", job_id.get()).put("status", name_of(status));
}

}  // namespace

const char* name_of(JobStatus status) {
  switch (status) {
    case JobStatus::queued:
      return "queued";
    case JobStatus::running:
      return "running";
    case JobStatus::done:
      return "done";
    case JobStatus::cancelled:
      return "cancelled";
  }
  return "";
}

JobStatus status_of(const JobRecord& job, std::uint64_t running_tasks) {
  if (job.cancelled) return JobStatus::cancelled;
  return running_tasks > 0 ? JobStatus::running : JobStatus::queued;
}

JobStatus status_of(const FinalRecord& job) {
  return job.state == FinalState::done ? JobStatus::done : JobStatus::cancelled;
}

TaskCounts count_tasks(const Records& records, const JobId& job_id) {
  TaskCounts counts;
  for_each_task(records, job_id, [&counts](const TaskRecord& task) {
    if (task.state == TaskState::done) ++counts.done;
    if (task.state == TaskState::bound) ++counts.bound;
    if (task.placed()) ++counts.placed;
    if (task.stop) ++counts.stopping;
  });
  return counts;
}

UserAnswer status_answer(const JobId& job_id, JobStatus status) {
  json::Writer out;
  write_status(out, job_id, status).close();
  return {200, out.str(), std::nullopt};
}

UserAnswer status_answer(const Records& records, const JobRecord& job) {
  const TaskCounts tasks = count_tasks(records, job.spec.job_id);
  json::Writer out;
  write_status(out, job.spec.job_id, status_of(job, tasks.bound))
      .put("done", tasks.done)
      .put("running", tasks.bound)
      .close();
  return {200, out.str(), std::nullopt};
}

UserAnswer status_answer(const FinalRecord& job) {
  const JobStatus status = status_of(job);
  const std::uint64_t done = status == JobStatus::done ? job.task_count : 0;
  json::Writer out;
  write_status(out, job.job_id, status).put("done", done).put("running", 0).close();
  return {200, out.str(), std::nullopt};
}

UserAnswer status_answer(const Records& records, const LookupResult& result,
                         const UserAnswer& if_unknown) {
  if (std::holds_alternative<LookupFailed>(result)) return store_unavailable_answer();
  if (const auto* job = std::get_if<Versioned<JobRecord>>(&result)) {
    return status_answer(records, job->record);
  }
  if (const auto* job = std::get_if<FinalRecord>(&result)) return status_answer(*job);
  return if_unknown;
}

}  // namespace marblevale
