#include "api/job_submission.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "api/feasibility.hpp"
#include "api/job_status.hpp"
#include "protocol/limits.hpp"

namespace marblevale {

namespace {

constexpr int kMaxCommitAttempts = 3;
constexpr std::chrono::seconds kMachineTypesRetryAfter{1};
constexpr std::chrono::seconds kOpenJobLimitRetryAfter{10};

}  // namespace

std::variant<ParsedSubmission, UserAnswer> parse_submission(const std::string& body) {
  ParsedSubmission submission;
  if (body.size() > kMaxRequestBytes) return error_answer(400, "the body is over 64 KiB");
  if (!json::parse(submission.document, body)) return error_answer(400, "not a JSON object");
  const auto job_id = json::text(submission.document, "uid");
  if (!job_id || !valid_job_id(*job_id)) return error_answer(400, "uid: missing or invalid");
  submission.job_id = JobId(*job_id);
  return submission;
}

JobSubmission::JobSubmission(const Clock& clock, const Settings& settings, WatchCache& cache,
                             JobLookup& lookup)
    : clock_(clock), settings_(settings), cache_(cache), lookup_(lookup) {}

void JobSubmission::submit(const std::string& body, const AnswerHandler& answer) {
  auto parsed = parse_submission(body);
  if (const auto* rejection = std::get_if<UserAnswer>(&parsed)) {
    answer(*rejection);
    return;
  }
  const auto& submission = std::get<ParsedSubmission>(parsed);
  auto validated = validate(submission.document);
  if (const auto* rejection = std::get_if<UserAnswer>(&validated)) {
    answer_with_status(submission.job_id, *rejection, answer);
    return;
  }
  create_job(std::make_shared<const JobSpec>(std::get<JobSpec>(std::move(validated))),
             kMaxCommitAttempts, answer);
}

std::variant<JobSpec, UserAnswer> JobSubmission::validate(const json::Document& document) const {
  const Records& records = cache_.records();
  auto parsed = parse_job(document);
  if (const auto* error = std::get_if<JobSpecError>(&parsed)) {
    return error_answer(400, error->message());
  }
  auto& job = std::get<JobSpec>(parsed);
  if (!cache_.ready() || !records.types || records.types->record.empty()) {
    return error_answer(503, "the machine types are not known yet", kMachineTypesRetryAfter);
  }
  if (const auto reason = infeasibility_reason(job, settings_, records.types->record,
                                               cache_.lasting_value_bytes())) {
    return error_answer(422, *reason);
  }
  if (records.jobs.size() >= settings_.tuning.max_open_jobs) {
    return error_answer(503, "too many unfinished jobs", kOpenJobLimitRetryAfter);
  }
  // A commit would conflict with the job's existing record.
  if (lookup_.is_known(job.job_id)) return store_unavailable_answer();
  return std::move(job);
}

void JobSubmission::create_job(const std::shared_ptr<const JobSpec>& job, int attempts_left,
                               const AnswerHandler& answer) {
  const JobRecord record{*job, clock_.wall(), std::nullopt};
  Transaction txn;
  txn.guard(keys::job(job->job_id), ModRevision{})
      .guard(keys::final_job(job->job_id), ModRevision{});
  txn.put(keys::job(job->job_id), encode(record));
  cache_.commit(RequestPriority::submission, std::move(txn),
                [this, job, attempts_left, answer](const CommitResult& result) {
                  handle_commit(job, attempts_left, answer, result.outcome);
                });
}

void JobSubmission::handle_commit(const std::shared_ptr<const JobSpec>& job, int attempts_left,
                                  const AnswerHandler& answer, Outcome outcome) {
  switch (outcome) {
    case Outcome::done: {
      spdlog::debug("job_api: job accepted job={} class={} team={} tasks={}", job->job_id.get(),
                    job->job_class, job->team.get(), job->task_count);
      UserAnswer accepted = status_answer(job->job_id, JobStatus::queued);
      accepted.status = 201;
      answer(accepted);
      return;
    }
    case Outcome::conflict:
      answer_with_status(job->job_id, store_unavailable_answer(), answer);
      return;
    case Outcome::unknown:
      // Repeating the commit resolves the outcome: the repeat either succeeds or conflicts with the
      // record that the first commit wrote.
      if (attempts_left > 1) {
        create_job(job, attempts_left - 1, answer);
        return;
      }
      answer(store_unavailable_answer());
      return;
    case Outcome::refused:
    case Outcome::lease_expired:
      answer(store_unavailable_answer());
      return;
  }
}

void JobSubmission::answer_with_status(const JobId& job_id, const UserAnswer& if_unknown,
                                       const AnswerHandler& answer) {
  lookup_.look_up(job_id, [this, if_unknown, answer](const LookupResult& result) {
    answer(status_answer(cache_.records(), result, if_unknown));
  });
}

}  // namespace marblevale
