// Submission of jobs: parsing, validation and idempotent creation.
#pragma once

#include <memory>
#include <string>
#include <variant>

#include "api/job_lookup.hpp"
#include "api/user_answer.hpp"
#include "config/settings.hpp"
#include "protocol/job_spec.hpp"

namespace marblevale {

/// A submission's body, of which only the job's id is checked.
struct ParsedSubmission {
  JobId job_id;
  json::Document document;
};

/// Reads the body as far as needed to know which job it submits; otherwise the error for its user.
[[nodiscard]] std::variant<ParsedSubmission, UserAnswer> parse_submission(const std::string& body);

/// Accepts jobs. A submission is idempotent by the job's id: a job that was accepted is answered
/// with its status, whatever the repeated body holds and whatever keeps new jobs out.
class JobSubmission {
 public:
  JobSubmission(const Clock& clock, const Settings& settings, WatchCache& cache, JobLookup& lookup);

  void submit(const std::string& body, const AnswerHandler& answer);

 private:
  /// The job, or what its user is told if the job's id is not known.
  [[nodiscard]] std::variant<JobSpec, UserAnswer> validate(const json::Document& document) const;
  /// Commits the job's record unless the id has one already. Safe to repeat.
  void create_job(const std::shared_ptr<const JobSpec>& job, int attempts_left,
                  const AnswerHandler& answer);
  void handle_commit(const std::shared_ptr<const JobSpec>& job, int attempts_left,
                     const AnswerHandler& answer, Outcome outcome);
  /// Answers with the job's status, or with `if_unknown` if it was never accepted.
  void answer_with_status(const JobId& job_id, const UserAnswer& if_unknown,
                          const AnswerHandler& answer);

  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  JobLookup& lookup_;
};

}  // namespace marblevale
