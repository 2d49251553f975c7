#include "api/job_cancellation.hpp"

#include <utility>

#include "api/job_status.hpp"

namespace marblevale {

namespace {

constexpr int kMaxCommitAttempts = 3;

}  // namespace

JobCancellation::JobCancellation(const Clock& clock, WatchCache& cache,
                                 Cancellations& cancellations, JobLookup& lookup)
    : clock_(clock), cache_(cache), cancellations_(cancellations), lookup_(lookup) {}

void JobCancellation::cancel(const JobId& job_id, const AnswerHandler& answer) {
  look_up_and_cancel(job_id, kMaxCommitAttempts, answer);
}

void JobCancellation::look_up_and_cancel(const JobId& job_id, int attempts_left,
                                         const AnswerHandler& answer) {
  lookup_.look_up(job_id, [this, job_id, attempts_left, answer](const LookupResult& result) {
    if (std::holds_alternative<LookupFailed>(result)) {
      answer(store_unavailable_answer());
    } else if (std::holds_alternative<JobUnknown>(result)) {
      answer(no_such_job_answer());
    } else if (const auto* final_job = std::get_if<FinalRecord>(&result)) {
      answer(status_answer(job_id, status_of(*final_job)));
    } else {
      const auto& job = std::get<Versioned<JobRecord>>(result);
      if (job.record.cancelled) {
        answer(status_answer(job_id, JobStatus::cancelled));
      } else if (attempts_left == 0) {
        answer(store_unavailable_answer());
      } else {
        commit_cancellation(job_id, job, attempts_left, answer);
      }
    }
  });
}

void JobCancellation::commit_cancellation(const JobId& job_id, const Versioned<JobRecord>& job,
                                          int attempts_left, const AnswerHandler& answer) {
  const JobRecord record = cancelled_record(job.record);
  Transaction txn;
  txn.guard(keys::job(job_id), job.mod_revision).put(keys::job(job_id), encode(record));
  cache_.commit(RequestPriority::binding, std::move(txn),
                [this, job_id, attempts_left, answer,
                 cancelled_at = *record.cancelled](const CommitResult& result) {
                  if (result.outcome == Outcome::done) {
                    confirm_cancellation(job_id, cancelled_at, answer);
                  } else if (result.outcome == Outcome::refused) {
                    answer(store_unavailable_answer());
                  } else {
                    // The lookup reads back the outcome of this commit.
                    look_up_and_cancel(job_id, attempts_left - 1, answer);
                  }
                });
}

void JobCancellation::confirm_cancellation(const JobId& job_id, WallTime cancelled_at,
                                           const AnswerHandler& answer) {
  cancellations_.add_confirmed(job_id, cancelled_at);
  answer(status_answer(job_id, JobStatus::cancelled));
}

JobRecord JobCancellation::cancelled_record(JobRecord record) const {
  record.cancelled = clock_.wall();
  // If the state service has lowered its value limit since the job was accepted, the record may be
  // too large to be written again. No task of a cancelled job starts any more, so the allowed
  // machine types can be dropped.
  if (encode(record).size() > cache_.lasting_value_bytes()) record.spec.machine_types.clear();
  return record;
}

}  // namespace marblevale
