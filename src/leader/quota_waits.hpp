/// Finds jobs that wait for their team's quota because of a release without a definite answer.
///
/// An open release counts in full against its team's quota until it is settled (see
/// `OpenReleases`), so it can keep other jobs of the team from starting. Users who ask why such a
/// job waits see the job whose release is open.
#pragma once

#include <unordered_set>
#include <vector>

#include "config/settings.hpp"
#include "leader/guarantee_writer.hpp"
#include "leader/releaser.hpp"
#include "leader/team_quota_usage.hpp"
#include "scheduling/planner.hpp"

namespace marblevale {

/// A job that waits for its team's quota, and a job of the same team whose release is open.
struct QuotaWait {
  JobId job_id;
  JobId unsettled_job_id;
};

/// Finds at most `max_waits` jobs of the queue that their team's quota keeps from starting only
/// because of the open changes of `unsettled_slices`. Such a job would fit the quota if these
/// changes were never applied. Pure.
std::vector<QuotaWait> find_quota_waits(const std::vector<QueueItem>& queue,
                                        const Settings& settings, const Records& records,
                                        const TeamQuotaUsage& usage,
                                        const std::vector<SliceKey>& unsettled_slices,
                                        std::size_t max_waits);

/// Writes one note for each job that `find_quota_waits` returns and each of the job's waits.
class QuotaWaitNotes {
 public:
  QuotaWaitNotes(const Clock& clock, const Settings& settings, const WatchCache& cache,
                 Releaser& releaser, GuaranteeWriter& guarantee_writer);

  /// Discards the jobs that already have the note.
  void begin_term() { noted_jobs_.clear(); }
  /// Discards jobs that are no longer in the queue. They get the note again when they wait again.
  void retain_only(const std::unordered_set<JobId>& queued_jobs);
  /// True when the last check was long enough ago.
  [[nodiscard]] bool due() const;
  /// Finds the jobs in the queue that wait for this reason, and writes their notes.
  void run(const std::vector<QueueItem>& queue);

 private:
  const Clock& clock_;
  const Settings& settings_;
  const WatchCache& cache_;
  Releaser& releaser_;
  GuaranteeWriter& guarantee_writer_;
  SteadyTime last_run_{};
  std::unordered_set<JobId> noted_jobs_;
};

}  // namespace marblevale
