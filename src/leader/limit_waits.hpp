// Jobs that wait only because a release of their team has had no definite answer: what is open
// counts against the team's limit. A member who asks is told so. Pure.
#pragma once

#include <vector>

#include "config/settings.hpp"
#include "leader/team_usage.hpp"
#include "scheduling/planner.hpp"

namespace marblevale {

struct LimitWait {
  JobId job_id;
  JobId unsettled;  // a job of the same team whose release is open
};

/// Of the queue's jobs, at most `most` that the team's limit would let begin if the open changes of
/// the slices in `unsettled` came to nothing, and does not let begin as things are.
std::vector<LimitWait> find_limit_waits(const std::vector<QueueItem>& queue,
                                        const Settings& settings, const Records& records,
                                        const TeamUsage& usage,
                                        const std::vector<SliceKey>& unsettled, std::size_t most);

}  // namespace marblevale
