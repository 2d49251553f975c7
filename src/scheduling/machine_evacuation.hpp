/// Graceful eviction: chooses the tasks to stop on machines that will be lost or are taken out of
/// service, before the machine is gone. Pure.
#pragma once

#include <map>
#include <set>
#include <string>

#include "records/record_set.hpp"

namespace marblevale {

/// Tasks of one job to stop, by slice number and index in the slice.
struct Evacuation {
  std::map<std::uint32_t, std::set<std::size_t>> tasks;
  Duration grace_period{};
  const char* reason = "";  // sent with the stop, and noted on the job
};

/// Returns the tasks to stop now, by job. On machines that the cloud takes back, tasks that can
/// write a checkpoint are stopped as late as the checkpoint's write time allows, a gang as a whole,
/// and replicas of service jobs as soon as the reclaim is known. Replicas also leave drained and
/// quarantined machines, because they have no end and would stay there forever: one replica of a
/// job at a time, and only while all its replicas are running.
std::map<JobId, Evacuation> find_evacuations(const Records& records, WallTime now);

}  // namespace marblevale
