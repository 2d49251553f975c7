// Since when requests about a job have gone unanswered, for a warning in the log.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "core/ids.hpp"
#include "core/time.hpp"

namespace marblevale {

/// Warns when no request about a job could be answered for `kWarningInterval`, and again after each
/// further interval: a user who gets no answer for longer takes the job for lost.
class UnansweredJobs {
 public:
  static constexpr Duration kWarningInterval{45'000};
  /// At this many jobs all are dropped: an outage, which other log lines report.
  static constexpr std::size_t kMaxJobs = 2000;

  explicit UnansweredJobs(const Clock& clock) : clock_(clock) {}
  void note_answered(const JobId& job_id) { unanswered_since_.erase(job_id); }
  void note_unanswered(const JobId& job_id);

 private:
  const Clock& clock_;
  /// The first unanswered request, or the last warning.
  std::unordered_map<JobId, SteadyTime> unanswered_since_;
};

}  // namespace marblevale
