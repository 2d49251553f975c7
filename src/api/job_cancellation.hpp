// Cancellation of jobs at their users' request.
#pragma once

#include "api/job_lookup.hpp"
#include "api/user_answer.hpp"

namespace marblevale {

/// Cancels jobs. The job's record decides between its cancellation and its end: the cancellation is
/// committed under the revision that was looked up, and whatever became of the commit is read back
/// before the user is told anything.
class JobCancellation {
 public:
  JobCancellation(const Clock& clock, WatchCache& cache, Cancellations& cancellations,
                  JobLookup& lookup);

  void cancel(const JobId& job_id, const AnswerHandler& answer);

 private:
  /// Looks the job up and commits its cancellation if it is neither cancelled nor ended.
  void look_up_and_cancel(const JobId& job_id, int attempts_left, const AnswerHandler& answer);
  void commit_cancellation(const JobId& job_id, const Versioned<JobRecord>& job, int attempts_left,
                           const AnswerHandler& answer);
  /// Tells the user that the cancellation is committed. The other controllers are told first: each
  /// vouches for its list of confirmed cancellations, and one of them may be asked about the job as
  /// soon as its user knows. (A cancellation that a lookup finds in the job's record is published
  /// by `JobLookup`, by the same rule.)
  void confirm_cancellation(const JobId& job_id, WallTime cancelled_at,
                            const AnswerHandler& answer);
  [[nodiscard]] JobRecord cancelled_record(JobRecord record) const;

  const Clock& clock_;
  WatchCache& cache_;
  Cancellations& cancellations_;
  JobLookup& lookup_;
};

}  // namespace marblevale
