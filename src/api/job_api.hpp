// The requests of users about jobs: submit, query the status, cancel, explain. Any controller
// serves them, from committed records only.
#pragma once

#include <string>

#include "api/job_cancellation.hpp"
#include "api/job_lookup.hpp"
#include "api/job_submission.hpp"
#include "api/open_requests.hpp"
#include "api/user_answer.hpp"

namespace marblevale {

/// Gives each request its deadline and directs it to the class that serves it. Users wait 2 s for
/// the answer to a query and 5 s for the other answers: what isn't known by then is answered with
/// 503 while they still listen.
class JobApi {
 public:
  JobApi(Loop& loop, const Clock& clock, const Settings& settings, Store& store, WatchCache& cache,
         Cancellations& cancellations);

  /// `body`: the job as JSON.
  void submit(const std::string& body, AnswerHandler handler);
  /// Refused at once when too many status queries wait.
  void status(const std::string& job_id, AnswerHandler handler);
  void cancel(const std::string& job_id, AnswerHandler handler);
  /// Why the job waits, waited or was moved.
  void explain(const std::string& job_id, AnswerHandler handler);

 private:
  Loop& loop_;
  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  OpenQueryLimit open_queries_;
  JobLookup lookup_;
  JobSubmission submission_;
  JobCancellation cancellation_;
};

}  // namespace marblevale
