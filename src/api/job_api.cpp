#include "api/job_api.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <utility>

#include "api/feasibility.hpp"
#include "api/job_explanation.hpp"

namespace marblevale {

namespace {

constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxCachedFinalJobs = 2000;
constexpr std::size_t kMaxConcurrentReads = 300;
constexpr std::size_t kMaxUnansweredJobs = 2000;
// Questions that wait at a time. All of them are answered at one word of the watch: their number
// bounds how long that holds up leases and reports, and leaves room for cancellations and
// submissions, which wait for the same word.
constexpr std::size_t kMaxOpenQueries = 400;
constexpr Duration kUnansweredWarningInterval{45'000};
constexpr int kMaxCommitAttempts = 3;
constexpr int kRetryAfterSeconds = 2;
constexpr int kQueryRetryAfterSeconds = 1;
// Users wait 2 s for the answer to a question and 5 s for the others: what isn't known by then is
// said so, while they still listen.
constexpr Duration kQueryDeadline{1'700};
constexpr Duration kWriteDeadline{4'500};

UserAnswer error_answer(int status, const std::string& what, int retry_after_s = 0) {
  json::Writer out;
  out.open().put("error", what).close();
  return {status, out.str(), retry_after_s};
}

UserAnswer unavailable_answer() {
  return error_answer(503, "the state service does not answer", kRetryAfterSeconds);
}

UserAnswer state(const JobId& job_id, const char* status) {
  json::Writer out;
  out.open().put("uid", job_id.get()).put("status", status).close();
  return {200, out.str(), 0};
}

template <typename Record>
std::optional<Record> decode_entry(const Entry& entry) {
  json::Document doc;
  Record record;
  if (!json::parse(doc, entry.value) || !decode(doc, record)) return std::nullopt;
  return record;
}

/// An answer that is given once.
class DeadlineAnswer {
 public:
  DeadlineAnswer(Loop& loop, Duration limit, AnswerHandler answer)
      : answer_(std::move(answer)), timer_(loop, [this] { give(unavailable_answer()); }) {
    timer_.start(limit);
  }
  void give(const UserAnswer& a) {
    if (!answer_) return;
    timer_.stop();
    std::exchange(answer_, nullptr)(a);
  }

 private:
  AnswerHandler answer_;
  Timer timer_;
};

/// One more open question, until this is dropped.
class OpenQuerySlot {
 public:
  explicit OpenQuerySlot(std::shared_ptr<std::size_t> open) : open_(std::move(open)) { ++*open_; }
  ~OpenQuerySlot() { --*open_; }
  OpenQuerySlot(const OpenQuerySlot&) = delete;
  OpenQuerySlot& operator=(const OpenQuerySlot&) = delete;

 private:
  std::shared_ptr<std::size_t> open_;
};

/// The answer, or a 503 when none has come within the limit; what comes later is dropped.
AnswerHandler in_time(Loop& loop, Duration limit, AnswerHandler answer) {
  return [open = std::make_shared<DeadlineAnswer>(loop, limit, std::move(answer))](
             const UserAnswer& a) { open->give(a); };
}

}  // namespace

JobApi::JobApi(Loop& loop, const Clock& clock, const Settings& settings, Store& store,
               WatchCache& cache, Cancellations& cancellations)
    : loop_(loop),
      clock_(clock),
      settings_(settings),
      store_(store),
      cache_(cache),
      cancellations_(cancellations) {}

void JobApi::cache_final_job(const FinalRecord& job) {
  if (!finals_.emplace(job.job_id, job).second) return;
  finals_order_.push_back(job.job_id);
  if (finals_order_.size() > kMaxCachedFinalJobs) {
    finals_.erase(finals_order_.front());
    finals_order_.pop_front();
  }
}

const FinalRecord* JobApi::cached_final_job(const JobId& job_id) const {
  const auto it = finals_.find(job_id);
  return it == finals_.end() ? nullptr : &it->second;
}

UserAnswer JobApi::state_of(const FinalRecord& job) {
  json::Writer out;
  out.open()
      .put("uid", job.job_id.get())
      .put("status", job.state == FinalState::done ? "done" : "cancelled")
      .put("done", static_cast<std::uint64_t>(job.state == FinalState::done ? job.task_count : 0))
      .put("running", 0)
      .close();
  return {200, out.str(), 0};
}

UserAnswer JobApi::state_of(const JobRecord& job) const {
  // The counts are for display and may lag; the state itself was just read.
  std::uint64_t done = 0;
  std::uint64_t running = 0;
  const auto& slices = cache_.records().slices;
  for (auto it = slices.lower_bound({job.spec.job_id, 0});
       it != slices.end() && it->first.job_id == job.spec.job_id; ++it) {
    for (const TaskRecord& task : it->second.record.tasks) {
      done += task.state == TaskState::done ? 1 : 0;
      running += task.state == TaskState::bound ? 1 : 0;
    }
  }
  json::Writer out;
  out.open()
      .put("uid", job.spec.job_id.get())
      .put("status", job.cancelled ? "cancelled"
                     : running > 0 ? "running"
                                   : "queued")
      .put("done", done)
      .put("running", running)
      .close();
  return {200, out.str(), 0};
}

void JobApi::note_cancellation(const LookupResult& f) {
  // Of a job that is over nothing is left: there is nothing to tell the other controllers.
  if (f.job && f.job->record.cancelled) {
    cancellations_.tell(f.job->record.spec.job_id, *f.job->record.cancelled);
  }
}

void JobApi::note_answerability(const JobId& job_id, bool answered) {
  if (answered) {
    unanswered_.erase(job_id);
    return;
  }
  const SteadyTime now = clock_.steady();
  if (unanswered_.size() >= kMaxUnansweredJobs) unanswered_.clear();  // all of them: an outage
  const auto since = unanswered_.try_emplace(job_id, now).first;
  if (now - since->second < kUnansweredWarningInterval) return;
  // A user who is told nothing for longer takes the job for forgotten.
  spdlog::warn("admission: no request about {} could be answered for {} s", job_id.get(),
               whole_seconds(now - since->second));
  since->second = now;
}

void JobApi::look_up(const JobId& job_id, std::function<void(const LookupResult&)> tell_on) {
  // All that users are told of a job passes here, so a cancellation is noted before it is told.
  const auto then = [this, job_id, tell_on = std::move(tell_on)](const LookupResult& f) {
    note_cancellation(f);
    note_answerability(job_id, f.ok);
    tell_on(f);
  };
  if (const FinalRecord* known = cached_final_job(job_id)) {
    then({true, std::nullopt, *known});
    return;
  }
  if (cache_.records().jobs.contains(job_id)) {
    // An unfinished job: all such questions share the watch, whose next word is newer than they
    // are.
    cache_.when_fresh([this, job_id, then](bool fresh) {
      const auto& jobs = cache_.records().jobs;
      const auto job = jobs.find(job_id);
      if (!fresh) {
        then({});
      } else if (job != jobs.end()) {
        then({true, job->second, std::nullopt});
      } else {
        ask_store(job_id, then);  // it has ended, or its record can't be read
      }
    });
    return;
  }
  ask_store(job_id, then);
}

void JobApi::ask_store(const JobId& job_id, std::function<void(const LookupResult&)> then) {
  // Equal questions share a read, but never one that was sent before the question came: its answer
  // may be older than what another controller has told the user meanwhile.
  const auto it = reading_.find(job_id);
  if (it != reading_.end()) {
    it->second.next.push_back(std::move(then));
    return;
  }
  if (reading_.size() >= kMaxConcurrentReads) {
    then({});
    return;
  }
  reading_[job_id].current.push_back(std::move(then));
  read(job_id);
}

void JobApi::read(const JobId& job_id) {
  store_.read(keys::job(job_id), [this, job_id](const ReadResult& r) {
    if (!r.ok) {
      found(job_id, {});
      return;
    }
    if (!r.entry) {
      // Jobs move to their final record in one commit, never back: what is in neither was not
      // accepted before the first read.
      look_up_final(job_id);
      return;
    }
    LookupResult result;
    if (auto record = decode_entry<JobRecord>(*r.entry)) {
      result.ok = true;
      result.job = Versioned<JobRecord>{std::move(*record), r.entry->mod_revision};
    }
    found(job_id, result);
  });
}

void JobApi::look_up_final(const JobId& job_id) {
  store_.read(keys::final_job(job_id), [this, job_id](const ReadResult& r) {
    LookupResult result;
    result.ok = r.ok;
    if (r.ok && r.entry) {
      result.final_job = decode_entry<FinalRecord>(*r.entry);
      result.ok = result.final_job.has_value();
      if (result.final_job) cache_final_job(*result.final_job);
    }
    found(job_id, result);
  });
}

void JobApi::found(const JobId& job_id, const LookupResult& result) {
  const auto it = reading_.find(job_id);
  if (it == reading_.end()) return;
  const auto answered = std::move(it->second.current);
  if (it->second.next.empty()) {
    reading_.erase(it);
  } else {
    it->second.current = std::move(it->second.next);
    it->second.next.clear();
    read(job_id);
  }
  for (const auto& then : answered) then(result);
}

void JobApi::answer_with_status(const LookupResult& f, const UserAnswer& if_unknown,
                                const AnswerHandler& answer) const {
  if (!f.ok) {
    answer(unavailable_answer());
  } else if (f.job) {
    answer(state_of(f.job->record));
  } else {
    answer(f.final_job ? state_of(*f.final_job) : if_unknown);
  }
}

void JobApi::submit(const std::string& body, AnswerHandler on_answer) {
  const AnswerHandler answer = in_time(loop_, kWriteDeadline, std::move(on_answer));
  json::Document doc;
  if (body.size() > kMaxBodyBytes) {
    answer(error_answer(400, "the body is over 64 KiB"));
    return;
  }
  if (!json::parse(doc, body)) {
    answer(error_answer(400, "not a JSON object"));
    return;
  }
  const auto job_id = json::text(doc, "uid");
  if (!job_id || !valid_job_id(*job_id)) {
    answer(error_answer(400, "uid: missing or invalid"));
    return;
  }
  const auto& records = cache_.records();
  std::string why;
  auto job = parse_job(doc, why);
  std::optional<UserAnswer> refusal;
  if (!job) {
    refusal = error_answer(400, why + ": missing or invalid");
  } else if (!cache_.ready() || !records.types || records.types->record.empty()) {
    refusal = error_answer(503, "the machine types are not known yet", 1);
  } else if (const auto reason = infeasibility_reason(*job, settings_, records.types->record,
                                                      cache_.lasting_value_bytes())) {
    refusal = error_answer(422, *reason);
  } else if (records.jobs.size() >= settings_.tuning.max_open_jobs) {
    refusal = error_answer(503, "too many unfinished jobs", kRetryAfterSeconds * 5);
  } else if (cached_final_job(job->job_id) != nullptr || records.jobs.contains(job->job_id)) {
    refusal = unavailable_answer();  // it is known: a commit would be in vain
  }
  if (refusal) {
    // A job that was accepted gets 200 whatever the repetition looks like, and whatever keeps a new
    // one out.
    look_up(JobId(*job_id), [this, refusal, answer](const LookupResult& f) {
      answer_with_status(f, *refusal, answer);
    });
    return;
  }
  create(std::make_shared<JobSpec>(std::move(*job)), kMaxCommitAttempts, answer);
}

void JobApi::create(std::shared_ptr<JobSpec> job, int attempts_left, AnswerHandler answer) {
  JobRecord record{*job, clock_.wall(), std::nullopt};
  Txn txn;
  txn.guard(keys::job(job->job_id), ModRevision{})
      .guard(keys::final_job(job->job_id), ModRevision{});
  txn.put(keys::job(job->job_id), encode(record));
  cache_.commit(RequestPriority::submission, std::move(txn),
                [this, job, attempts_left, answer](const CommitResult& r) {
                  switch (r.outcome) {
                    case Outcome::done: {
                      spdlog::debug("admission: {} accepted: {} of {}, {} tasks", job->job_id.get(),
                                    job->job_class, job->team.get(), job->task_count);
                      UserAnswer accepted = state(job->job_id, "queued");
                      accepted.status = 201;
                      answer(accepted);
                      return;
                    }
                    case Outcome::conflict:
                      look_up(job->job_id, [this, answer](const LookupResult& f) {
                        answer_with_status(f, unavailable_answer(), answer);
                      });
                      return;
                    case Outcome::unknown:
                      // The same commit again settles it: it passes, or finds that the first one
                      // did.
                      if (attempts_left > 1) {
                        create(job, attempts_left - 1, answer);
                        return;
                      }
                      answer(unavailable_answer());
                      return;
                    case Outcome::refused:
                    case Outcome::lease_expired:
                      answer(unavailable_answer());
                      return;
                  }
                });
}

AnswerHandler JobApi::open_query(AnswerHandler on_answer) {
  auto slot = std::make_shared<OpenQuerySlot>(open_queries_);
  return in_time(loop_, kQueryDeadline,
                 [slot = std::move(slot), on_answer = std::move(on_answer)](const UserAnswer& a) {
                   on_answer(a);
                 });
}

void JobApi::status(const std::string& job_id, AnswerHandler on_answer) {
  if (*open_queries_ >= kMaxOpenQueries) {
    on_answer(error_answer(503, "too many questions at a time", kQueryRetryAfterSeconds));
    return;
  }
  const AnswerHandler answer = open_query(std::move(on_answer));
  if (!valid_job_id(job_id)) {
    answer(error_answer(404, "no such job"));
    return;
  }
  look_up(JobId(job_id), [this, answer](const LookupResult& f) {
    answer_with_status(f, error_answer(404, "no such job"), answer);
  });
}

void JobApi::cancel(const std::string& job_id, AnswerHandler on_answer) {
  const AnswerHandler answer = in_time(loop_, kWriteDeadline, std::move(on_answer));
  if (!valid_job_id(job_id)) {
    answer(error_answer(404, "no such job"));
    return;
  }
  try_cancel(JobId(job_id), kMaxCommitAttempts, answer);
}

JobRecord JobApi::cancelled_record(JobRecord record) const {
  record.cancelled = clock_.wall();
  // Accepted when the state service took larger values, it may be too large to be written again.
  // Nothing of a cancelled job starts any more: on which types it could no longer matters.
  if (encode(record).size() > cache_.lasting_value_bytes()) record.spec.machine_types.clear();
  return record;
}

void JobApi::try_cancel(const JobId& job_id, int attempts_left, AnswerHandler answer) {
  look_up(job_id, [this, job_id, attempts_left, answer](const LookupResult& f) {
    if (!f.ok) {
      answer(unavailable_answer());
      return;
    }
    if (f.final_job) {
      answer(state(job_id, f.final_job->state == FinalState::done ? "done" : "cancelled"));
      return;
    }
    if (!f.job) {
      answer(error_answer(404, "no such job"));
      return;
    }
    if (f.job->record.cancelled) {
      answer(state(job_id, "cancelled"));
      return;
    }
    if (attempts_left == 0) {
      answer(unavailable_answer());
      return;
    }
    const JobRecord record = cancelled_record(f.job->record);
    Txn txn;
    txn.guard(keys::job(job_id), f.job->mod_revision).put(keys::job(job_id), encode(record));
    cache_.commit(
        RequestPriority::binding, std::move(txn),
        [this, job_id, attempts_left, answer, at = *record.cancelled](const CommitResult& r) {
          if (r.outcome == Outcome::done) {
            cancellations_.tell(job_id, at);  // before the user: a peer may ask meanwhile
            answer(state(job_id, "cancelled"));
          } else if (r.outcome == Outcome::refused) {
            answer(unavailable_answer());
          } else {
            try_cancel(job_id, attempts_left - 1, answer);  // read back what became of it
          }
        });
  });
}

void JobApi::explain(const std::string& job_id, AnswerHandler on_answer) {
  const AnswerHandler answer = in_time(loop_, kQueryDeadline, std::move(on_answer));
  if (!valid_job_id(job_id)) {
    answer(error_answer(404, "no such job"));
    return;
  }
  look_up(JobId(job_id), [this, answer](const LookupResult& f) {
    if (!f.ok) {
      answer(unavailable_answer());
    } else if (f.job) {
      answer({200, explain_job(cache_.records(), settings_, f.job->record, clock_.wall()), 0});
    } else {
      answer(f.final_job ? UserAnswer{200, explain_job(*f.final_job), 0}
                         : error_answer(404, "no such job"));
    }
  });
}

}  // namespace marblevale
