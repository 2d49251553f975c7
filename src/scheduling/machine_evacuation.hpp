/// Graceful eviction: which tasks have to leave machines that are about to go, ahead of the loss.
#pragma once

#include <map>
#include <set>
#include <string>

#include "records/record_set.hpp"

namespace marblevale {

/// Tasks of one job that are to be stopped on their machines, by slice and index in it.
struct Evacuation {
  std::map<std::uint32_t, std::set<std::size_t>> tasks;
  Duration grace_period{};
  const char* reason = "";  // for the members
};

/// Tasks that can write a checkpoint are stopped as late as writing it allows, a gang whole.
/// Replicas of service jobs leave machines that the cloud takes back as soon as that is known, and
/// those that are drained or quarantined one replica of a job at a time: they would stay there for
/// ever.
std::map<JobId, Evacuation> find_evacuations(const Records& records, WallTime now);

}  // namespace marblevale
