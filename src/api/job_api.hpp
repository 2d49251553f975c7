// The users' interface: submit, query, abort, why. Any controller serves it, from committed
// records only.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cancellations/cancellations.hpp"
#include "config/settings.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

struct UserAnswer {
  int status = 503;
  std::string body = R"({"error":"not decided"})";
  int retry_after_s = 0;
};

using AnswerHandler = std::function<void(const UserAnswer&)>;

class JobApi {
 public:
  JobApi(Loop& loop, const Clock& clock, const Settings& settings, Store& store, WatchCache& cache,
         Cancellations& cancellations);

  void submit(const std::string& body, AnswerHandler answer);
  void status(const std::string& job_id, AnswerHandler answer);
  void cancel(const std::string& job_id, AnswerHandler answer);
  void explain(const std::string& job_id, AnswerHandler answer);

 private:
  /// What is known of a job after a successful read.
  struct LookupResult {
    bool ok = false;  // false: the state service did not tell
    std::optional<Versioned<JobRecord>> job;
    std::optional<FinalRecord> final_job;
  };

  /// `on_answer`, given within a question's time and counted as open until then.
  AnswerHandler open_query(AnswerHandler on_answer);
  void look_up(const JobId& job_id, std::function<void(const LookupResult&)> tell_on);
  void note_cancellation(const LookupResult& f);
  void note_answerability(const JobId& job_id, bool answered);
  void ask_store(const JobId& job_id, std::function<void(const LookupResult&)> then);
  void read(const JobId& job_id);
  void look_up_final(const JobId& job_id);
  void found(const JobId& job_id, const LookupResult& result);
  void create(std::shared_ptr<JobSpec> job, int attempts_left, AnswerHandler answer);
  [[nodiscard]] JobRecord cancelled_record(JobRecord record) const;
  void try_cancel(const JobId& job_id, int attempts_left, AnswerHandler answer);
  /// The job's state, or `if_unknown` when it was never accepted.
  void answer_with_status(const LookupResult& f, const UserAnswer& if_unknown,
                          const AnswerHandler& answer) const;
  void cache_final_job(const FinalRecord& job);
  [[nodiscard]] const FinalRecord* cached_final_job(const JobId& job_id) const;
  [[nodiscard]] UserAnswer state_of(const JobRecord& job) const;
  [[nodiscard]] static UserAnswer state_of(const FinalRecord& job);

  Loop& loop_;
  const Clock& clock_;
  const Settings& settings_;
  Store& store_;
  WatchCache& cache_;
  Cancellations& cancellations_;
  /// Questions about one job: those that the read on its way answers, and those that came after it
  /// was sent, which need another.
  struct Reading {
    std::vector<std::function<void(const LookupResult&)>> current;
    std::vector<std::function<void(const LookupResult&)>> next;
  };
  std::unordered_map<JobId, Reading> reading_;
  /// Questions that wait for their answer. Shared with each of them, since one may outlive this.
  std::shared_ptr<std::size_t> open_queries_ = std::make_shared<std::size_t>(0);
  std::unordered_map<JobId, SteadyTime>
      unanswered_;  // since when, or since it was last logged; bounded
  std::unordered_map<JobId, FinalRecord> finals_;  // never change; bounded
  std::list<JobId> finals_order_;
};

}  // namespace marblevale
