/// Builds the compression queue from the records: the waiting jobs, their tasks to be placed, and
/// the properties that decide their rank. Pure.
#pragma once

#include <optional>
#include <unordered_set>
#include <vector>

#include "config/settings.hpp"
#include "scheduling/current_slices.hpp"
#include "scheduling/queue_item.hpp"
#include "scheduling/slice_summary.hpp"

namespace marblevale {

/// The owner of a job's reservation in the profile.
Owner owner_of(const JobId& job_id);

/// The jobs that fit into their team's guarantee together with the team's earlier unfinished jobs.
std::unordered_set<JobId> guaranteed_jobs(const Records& records, const Settings& settings);

/// Returns the job's entry in the queue, without its rank; nothing when none of its tasks may be
/// placed. `job` must outlive the entry. With `cache`, slices that have not changed since the
/// last call are not read task by task again.
std::optional<QueueItem> make_queue_item(const JobId& job_id, const JobRecord& job,
                                         const Records& records, const PendingSlices& pending,
                                         WallTime now, SliceSummaryCache* cache = nullptr);

/// Returns the waiting jobs, unsorted. With `prefer_one_zone`, arrays prefer a single zone: each
/// shard holder that binds tasks costs a write to the state service, so fewer zones cost fewer
/// writes.
std::vector<QueueItem> build_queue(const Records& records, const PendingSlices& pending,
                                   const Settings& settings, WallTime now, bool prefer_one_zone,
                                   SliceSummaryCache* cache = nullptr);

}  // namespace marblevale
