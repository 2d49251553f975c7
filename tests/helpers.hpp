// Shared by the tests: jobs, machines and queue items in one line each.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "planner/planner.hpp"
#include "wire/job_spec.hpp"

namespace marblevale::testing {

inline Wall at(double seconds) { return {static_cast<std::int64_t>(seconds * 1000)}; }

inline JobSpec gang(const std::string& uid, std::uint32_t parts, double gpus, double seconds) {
  JobSpec job;
  job.uid = Uid(uid);
  job.workclass = "solve";
  job.crew = TeamId("crew");
  job.shape = Shape::ensemble;
  job.parts = parts;
  job.need = {1, gpus, 1};
  job.bundle = ImageId("img");
  job.expect = from_seconds(seconds);
  job.snapshot = from_seconds(10);
  job.stash = from_seconds(2);
  return job;
}

inline JobSpec batch(const std::string& uid, std::uint32_t parts, double gpus, double seconds) {
  JobSpec job = gang(uid, parts, gpus, seconds);
  job.shape = Shape::batch;
  return job;
}

inline PlanMachine machine(const std::string& host, double gpus, const std::string& zone = "a") {
  PlanMachine m;
  m.host = HostId(host);
  m.build = "g8";
  m.zone = ZoneId(zone);
  m.room = {100, gpus, 1000};
  m.images.insert(ImageId("img"));
  return m;
}

inline QueueItem item(const JobSpec& job, std::uint64_t owner, double accepted = 0) {
  QueueItem out;
  out.uid = job.uid;
  out.owner = Owner(owner);
  out.demand.job = &job;
  out.demand.tasks = job.parts;
  out.demand.run = job.expect;
  for (std::uint32_t i = 0; i < job.parts; ++i) out.parts.push_back(i);
  out.accepted = at(accepted);
  return out;
}

}  // namespace marblevale::testing
