/// The compression queue as the records give it: which jobs wait, with which tasks, and how they
/// rank. Pure.
#pragma once

#include <functional>
#include <unordered_set>
#include <vector>

#include "config/settings.hpp"
#include "records/record_set.hpp"
#include "scheduling/queue_item.hpp"

namespace marblevale {

/// A slice as the leader knows it: what it has committed may be ahead of the records.
using CurrentSlice = std::function<const SliceRecord*(const JobId&, std::uint32_t)>;

/// The owner of a job's reservation in the profile.
Owner owner_of(const JobId& job_id);

/// Jobs that fit into their team's guarantee along with the team's earlier unfinished jobs.
std::unordered_set<JobId> guaranteed_jobs(const Records& records, const Settings& settings);

/// The waiting jobs, in no order. `prefer_one_zone`: arrays keep to one zone where they can, since
/// each shard holder's binding is a write.
std::vector<QueueItem> build_queue(const Records& records, const Settings& settings,
                                   const CurrentSlice& current, WallTime now, bool prefer_one_zone);

}  // namespace marblevale
