// Functions that build jobs, machines and queue items for tests.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "protocol/job_spec.hpp"
#include "scheduling/planner.hpp"

namespace marblevale::testing {

/// The wall time that is `seconds` after the Unix epoch.
inline WallTime at(double seconds) {
  return from_unix_milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

/// A gang of the team `crew`: its tasks start together, and each task needs `gpus` GPUs. The
/// estimated run time is `seconds`.
inline JobSpec gang(const std::string& job_id, std::uint32_t task_count, double gpus,
                    double seconds) {
  JobSpec job;
  job.job_id = JobId(job_id);
  job.job_class = "solve";
  job.team = TeamId("crew");
  job.shape = JobShape::gang;
  job.task_count = task_count;
  job.need = {1, gpus, 1};
  job.image = ImageId("img");
  job.estimated_run = from_seconds(seconds);
  job.checkpoint_interval = from_seconds(10);
  job.save_time = from_seconds(2);
  return job;
}

/// An array of the team `crew`: its tasks start independently of each other.
inline JobSpec batch(const std::string& job_id, std::uint32_t task_count, double gpus,
                     double seconds) {
  JobSpec job = gang(job_id, task_count, gpus, seconds);
  job.shape = JobShape::array;
  return job;
}

/// A service job, which has no checkpoints. Its replicas run until the job is cancelled.
inline JobSpec service_job(const std::string& job_id, std::uint32_t replicas, double gpus) {
  JobSpec job = batch(job_id, replicas, gpus, 90'000'000);
  job.shape = JobShape::service;
  job.urgency = Urgency::production;
  job.checkpoint_interval = Duration{0};
  job.save_time = Duration{0};
  return job;
}

/// A machine in the planner's profile, with the image of the jobs above in its cache.
inline PlanMachine machine(const std::string& machine_id, double gpus,
                           const std::string& zone = "a") {
  PlanMachine m;
  m.machine_id = MachineId(machine_id);
  m.machine_type = "g8";
  m.zone = ZoneId(zone);
  m.resources = {100, gpus, 1000};
  m.images.insert(ImageId("img"));
  return m;
}

/// The job's queue item, with all tasks of the job waiting. `accepted` is in seconds, as for `at`.
inline QueueItem item(const JobSpec& job, std::uint64_t owner, double accepted = 0) {
  QueueItem out;
  out.job_id = job.job_id;
  out.owner = Owner(owner);
  out.demand.job = &job;
  out.demand.tasks = job.task_count;
  out.demand.run = job.estimated_run;
  for (std::uint32_t i = 0; i < job.task_count; ++i) out.task_indices.push_back(i);
  out.accepted = at(accepted);
  return out;
}

/// An empty table of failed starts, for a planner that runs a single round. All calls share one
/// table, and each call clears it.
inline FailedStarts& no_failed_starts() {
  static FailedStarts none;
  none.clear();
  return none;
}

}  // namespace marblevale::testing
