// Cancels jobs at their users' request. A confirmed cancellation is committed and final.
#pragma once

#include "api/job_lookup.hpp"
#include "api/user_answer.hpp"

namespace marblevale {

/// Commits cancellations by compare-and-swap on the job's record, so that a job that ends at the
/// same time becomes either done or cancelled, never both. After a conflict or an unknown outcome
/// the job is looked up again before the user is answered.
class JobCancellation {
 public:
  JobCancellation(const Clock& clock, WatchCache& cache, Cancellations& cancellations,
                  JobLookup& lookup);

  void cancel(const JobId& job_id, const AnswerHandler& answer);

 private:
  /// Looks up the job and commits its cancellation unless the job is already cancelled or ended.
  void look_up_and_cancel(const JobId& job_id, int attempts_left, const AnswerHandler& answer);
  void commit_cancellation(const JobId& job_id, const Versioned<JobRecord>& job, int attempts_left,
                           const AnswerHandler& answer);
  /// Adds the committed cancellation to the list for the other controllers and then answers the
  /// user. This order is required because each controller guarantees that its list contains every
  /// cancellation that it has confirmed, and another controller may be asked about the job as soon
  /// as the user has the answer. `JobLookup` does the same for a cancellation that it finds in a
  /// job's record.
  void confirm_cancellation(const JobId& job_id, WallTime cancelled_at,
                            const AnswerHandler& answer);
  [[nodiscard]] JobRecord cancelled_record(JobRecord record) const;

  const Clock& clock_;
  WatchCache& cache_;
  Cancellations& cancellations_;
  JobLookup& lookup_;
};

}  // namespace marblevale
