// Serves the users' requests about jobs: submit, query the status, cancel, explain. Any controller
// serves them, and answers only from committed records.
#pragma once

#include <string>

#include "api/job_cancellation.hpp"
#include "api/job_lookup.hpp"
#include "api/job_submission.hpp"
#include "api/open_requests.hpp"
#include "api/user_answer.hpp"

namespace marblevale {

/// Gives each request a deadline and passes it to the class that serves it. Clients time out after
/// 2 s for status queries and explanations, and after 5 s for submissions and cancellations. The
/// deadlines are shorter, so that a client still receives a 503 when the answer is not known in
/// time.
class JobApi {
 public:
  JobApi(Loop& loop, const Clock& clock, const Settings& settings, Store& store, WatchCache& cache,
         Cancellations& cancellations);

  /// `body`: the job as JSON.
  void submit(const std::string& body, AnswerHandler handler);
  /// Answered with 503 at once if too many status queries are open.
  void status(const std::string& job_id, AnswerHandler handler);
  void cancel(const std::string& job_id, AnswerHandler handler);
  /// Explains why the job waits, has waited or was moved.
  void explain(const std::string& job_id, AnswerHandler handler);

 private:
  Loop& loop_;
  const Clock& clock_;
  WatchCache& cache_;
  OpenQueryLimit open_queries_;
  JobLookup lookup_;
  JobSubmission submission_;
  JobCancellation cancellation_;
};

}  // namespace marblevale
