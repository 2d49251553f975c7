/// Builds the compression queue from the records: the waiting jobs, their tasks to be placed, and
/// the properties that decide their rank. Pure.
#pragma once

#include <functional>
#include <unordered_set>
#include <vector>

#include "config/settings.hpp"
#include "records/record_set.hpp"
#include "scheduling/queue_item.hpp"

namespace marblevale {

/// Looks up a slice in its latest state that the leader knows; the leader's own commits may be
/// newer than the records. Returns null when the slice has no record yet.
using CurrentSlice = std::function<const SliceRecord*(const JobId&, std::uint32_t)>;

/// The owner of a job's reservation in the profile.
Owner owner_of(const JobId& job_id);

/// The jobs that fit into their team's guarantee together with the team's earlier unfinished jobs.
std::unordered_set<JobId> guaranteed_jobs(const Records& records, const Settings& settings);

/// Returns the waiting jobs, unsorted. With `prefer_one_zone`, arrays prefer a single zone: each
/// shard holder that binds tasks costs a write to the state service, so fewer zones cost fewer
/// writes.
std::vector<QueueItem> build_queue(const Records& records, const Settings& settings,
                                   const CurrentSlice& current, WallTime now, bool prefer_one_zone);

}  // namespace marblevale
