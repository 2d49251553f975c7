#include "api/job_api.hpp"

#include <utility>

#include "api/job_explanation.hpp"
#include "api/job_status.hpp"

namespace marblevale {

namespace {

constexpr std::chrono::seconds kQueryRetryAfter{1};
constexpr Duration kQueryDeadline{1'700};
constexpr Duration kWriteDeadline{4'500};

}  // namespace

JobApi::JobApi(Loop& loop, const Clock& clock, const Settings& settings, Store& store,
               WatchCache& cache, Cancellations& cancellations)
    : loop_(loop),
      clock_(clock),
      cache_(cache),
      lookup_(clock, store, cache, cancellations),
      submission_(clock, settings, cache, lookup_),
      cancellation_(clock, cache, cancellations, lookup_) {}

void JobApi::submit(const std::string& body, AnswerHandler handler) {
  submission_.submit(body, with_deadline(loop_, kWriteDeadline, std::move(handler)));
}

void JobApi::status(const std::string& job_id, AnswerHandler handler) {
  if (open_queries_.reached()) {
    handler(error_answer(503, "too many questions at a time", kQueryRetryAfter));
    return;
  }
  const AnswerHandler answer =
      with_deadline(loop_, kQueryDeadline, open_queries_.track(std::move(handler)));
  if (!valid_job_id(job_id)) {
    answer(no_such_job_answer());
    return;
  }
  lookup_.look_up(JobId(job_id), [this, answer](const LookupResult& result) {
    answer(status_answer(cache_.records(), result, no_such_job_answer()));
  });
}

void JobApi::cancel(const std::string& job_id, AnswerHandler handler) {
  const AnswerHandler answer = with_deadline(loop_, kWriteDeadline, std::move(handler));
  if (!valid_job_id(job_id)) {
    answer(no_such_job_answer());
    return;
  }
  cancellation_.cancel(JobId(job_id), answer);
}

void JobApi::explain(const std::string& job_id, AnswerHandler handler) {
  const AnswerHandler answer = with_deadline(loop_, kQueryDeadline, std::move(handler));
  if (!valid_job_id(job_id)) {
    answer(no_such_job_answer());
    return;
  }
  lookup_.look_up(JobId(job_id), [this, answer](const LookupResult& result) {
    if (std::holds_alternative<LookupFailed>(result)) {
      answer(store_unavailable_answer());
    } else if (const auto* job = std::get_if<Versioned<JobRecord>>(&result)) {
      answer({200, explain_job(cache_.records(), job->record, clock_.wall()), std::nullopt});
    } else if (const auto* final_job = std::get_if<FinalRecord>(&result)) {
      answer({200, explain_job(*final_job), std::nullopt});
    } else {
      answer(no_such_job_answer());
    }
  });
}

}  // namespace marblevale
