// Tracks for how long requests about a job have failed, so that the log warns before users take the
// job for lost.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "core/ids.hpp"
#include "core/time.hpp"

namespace marblevale {

/// Logs a warning if all requests about a job have failed for `kWarningInterval`, and again after
/// each further interval, because a user who gets no answer for longer takes the job for lost.
class UnansweredJobs {
 public:
  static constexpr Duration kWarningInterval{45'000};
  /// When this many jobs are tracked, all are dropped. So many unanswered jobs mean an outage,
  /// which other log lines report.
  static constexpr std::size_t kMaxJobs = 2000;

  explicit UnansweredJobs(const Clock& clock) : clock_(clock) {}
  void note_answered(const JobId& job_id) { unanswered_since_.erase(job_id); }
  void note_unanswered(const JobId& job_id);

 private:
  const Clock& clock_;
  /// The time of the first unanswered request or, if later, of the last warning.
  std::unordered_map<JobId, SteadyTime> unanswered_since_;
};

}  // namespace marblevale
