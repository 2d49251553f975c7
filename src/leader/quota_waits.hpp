/// Jobs that wait for their team's quota because of a release without a definite answer.
///
/// An open release counts in full against its team's limit until it is settled (see
/// `OpenReleases`), so it can keep jobs of the team waiting that would otherwise start. Users who
/// ask why such a job waits are told the job whose release is open.
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

/// Of the queue's jobs, at most `max_waits` that their team's limit would let start if the open
/// changes of the slices in `unsettled` came to nothing, and does not let start as things are.
/// Pure.
std::vector<QuotaWait> find_quota_waits(const std::vector<QueueItem>& queue,
                                        const Settings& settings, const Records& records,
                                        const TeamQuotaUsage& usage,
                                        const std::vector<SliceKey>& unsettled_slices,
                                        std::size_t max_waits);

/// Writes a note, once for each job and time of waiting, for the jobs of `find_quota_waits`.
class QuotaWaitNotes {
 public:
  QuotaWaitNotes(const Clock& clock, const Settings& settings, const WatchCache& cache,
                 Releaser& releaser, GuaranteeWriter& guarantee_writer);

  /// Forgets which jobs have the note.
  void begin_term() { noted_jobs_.clear(); }
  /// Forgets jobs that wait no longer: they get the note again should they wait once more.
  void retain_only(const std::unordered_set<JobId>& queued_jobs);
  /// True when the last check was long enough ago.
  [[nodiscard]] bool due() const;
  /// Looks through the queue and writes the notes.
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
