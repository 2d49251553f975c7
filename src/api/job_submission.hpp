// Accepts submitted jobs: parses and validates them, and creates each job at most once.
#pragma once

#include <memory>
#include <string>
#include <variant>

#include "api/job_lookup.hpp"
#include "api/user_answer.hpp"
#include "config/settings.hpp"
#include "protocol/job_spec.hpp"

namespace marblevale {

/// A parsed submission. Only the job's id has been validated.
struct ParsedSubmission {
  JobId job_id;
  json::Document document;
};

/// Parses the body and its job id; returns the error answer if either is invalid.
[[nodiscard]] std::variant<ParsedSubmission, UserAnswer> parse_submission(const std::string& body);

/// Submissions are idempotent by the job's id. A repeated submission of an accepted job is answered
/// with the job's status, even if the new body is invalid or new jobs are being rejected.
class JobSubmission {
 public:
  JobSubmission(const Clock& clock, const Settings& settings, WatchCache& cache, JobLookup& lookup);

  void submit(const std::string& body, const AnswerHandler& answer);

 private:
  /// Returns the validated job, or the answer to send if no job with this id has been accepted.
  [[nodiscard]] std::variant<JobSpec, UserAnswer> validate(const json::Document& document) const;
  /// Commits the job's record unless the id already has a record. Idempotent.
  void create_job(const std::shared_ptr<const JobSpec>& job, int attempts_left,
                  const AnswerHandler& answer);
  void handle_commit(const std::shared_ptr<const JobSpec>& job, int attempts_left,
                     const AnswerHandler& answer, Outcome outcome);
  /// Answers with the job's status, or with `if_unknown` if the job was never accepted.
  void answer_with_status(const JobId& job_id, const UserAnswer& if_unknown,
                          const AnswerHandler& answer);

  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  JobLookup& lookup_;
};

}  // namespace marblevale
