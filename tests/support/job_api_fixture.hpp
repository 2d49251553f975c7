// Fixture of the users' API, with a scripted state service and a fake clock.
#pragma once

#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <string>
#include <utility>

#include "api/job_api.hpp"
#include "cancellations/cancellations.hpp"
#include "store/watch_cache.hpp"
#include "support/fake_time.hpp"
#include "support/scripted_store.hpp"
#include "support/stored_records.hpp"

namespace marblevale::testing {

/// A valid submission: a gang of two tasks. It has an unknown field, `unheard_of`.
inline const char* const kJobBody =
    R"({"uid":"req-000412","workclass":"train","crew":"vision","shape":"ensemble",
        "urgency":"urgent","parts":2,"cpus":8.0,"accelerators":1.0,"memory_gb":64.0,
        "bundle":"img-07","image_gb":6.2,"builds":["g8"],"district":null,"together":true,
        "spread":false,"loaners":true,"expect_s":240.0,"snapshot_s":30.0,"stash_s":4.0,
        "due_s":900.0,"unheard_of":[1,{}]})";

/// The submission above with `from` replaced by `to`.
inline std::string job_body_with(const std::string& from, const std::string& to) {
  std::string text = kJobBody;
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

/// The requests that a user can send to the API.
enum class UserRequest { status, submit, cancel, explain };
inline constexpr std::array kUserRequests{UserRequest::status, UserRequest::submit,
                                          UserRequest::cancel, UserRequest::explain};

/// The users' API of one controller. The only team, `vision`, has a limit of four GPUs, and the
/// only machine type exists in zone `a` alone.
class JobApiTest : public ::testing::Test {
 protected:
  JobApiTest() : cache_(loop_, clock_, store_, 1), cancellations_(clock_, cache_) {
    Team team;
    team.name = TeamId("vision");
    team.max_gpus = 4;
    settings_.teams.push_back(team);
    MachineType type;
    type.name = "g8";
    type.resources = {96, 8, 768};
    type.zones = {ZoneId("a")};
    store_.put(keys::kTypes, encode(std::vector<MachineType>{type}));
    cache_.begin();
    api_ = std::make_unique<JobApi>(loop_, clock_, settings_, store_, cache_, cancellations_);
  }

  /// Placeholder for an answer that has not arrived yet: its status is 0.
  static UserAnswer unanswered() {
    UserAnswer out;
    out.status = 0;
    return out;
  }

  UserAnswer submit(const std::string& body) {
    UserAnswer out = unanswered();
    api_->submit(body, [&out](const UserAnswer& a) { out = a; });
    wait_for_answer(out);
    return out;
  }
  UserAnswer status_of(const std::string& job_id) { return send(UserRequest::status, job_id); }
  UserAnswer cancel(const std::string& job_id) { return send(UserRequest::cancel, job_id); }

  /// Delivers watch events until the request is answered, at most 20 times.
  void wait_for_answer(const UserAnswer& out) {
    for (int i = 0; i < 20 && out.status == 0; ++i) answer_watch();
  }

  /// Sends the request to `to`, or to this fixture's API when `to` is null.
  void send(UserRequest request, const std::string& job_id, AnswerHandler then,
            JobApi* to = nullptr) {
    JobApi& api = to == nullptr ? *api_ : *to;
    switch (request) {
      case UserRequest::status:
        api.status(job_id, std::move(then));
        return;
      case UserRequest::submit:
        api.submit(job_body_with("req-000412", job_id), std::move(then));
        return;
      case UserRequest::cancel:
        api.cancel(job_id, std::move(then));
        return;
      case UserRequest::explain:
        api.explain(job_id, std::move(then));
        return;
    }
  }
  UserAnswer send(UserRequest request, const std::string& job_id, JobApi* to = nullptr) {
    UserAnswer out = unanswered();
    send(
        request, job_id, [&out](const UserAnswer& a) { out = a; }, to);
    wait_for_answer(out);
    return out;
  }

  static std::string status_in(const UserAnswer& answer) {
    json::Document doc;
    if (!json::parse(doc, answer.body)) return "";
    return json::text(doc, "status").value_or("");
  }

  /// Stores the job as if another controller had accepted it; returns its record's revision.
  ModRevision accept_on_peer(const std::string& job_id,
                             std::optional<WallTime> cancelled = std::nullopt) {
    json::Document doc;
    EXPECT_TRUE(json::parse(doc, job_body_with("req-000412", job_id)));
    return put_job(store_, std::get<JobSpec>(parse_job(doc)), clock_.wall(), cancelled);
  }

  /// Ends the job as the holder of its last task does, if the job's record still has
  /// `expected_revision`. If the commit conflicts with a cancellation, the holder reads the record
  /// again and ends the job as cancelled.
  void end_job(const std::string& job_id, ModRevision expected_revision) {
    const std::string key = keys::job(JobId(job_id));
    commit_end(job_id, FinalState::done, expected_revision);
    if (const auto entry = store_.get(key)) {
      commit_end(job_id, FinalState::cancelled, entry->mod_revision);
    }
  }

  /// Ends req-000412 without a guard on the revision of its record.
  void finish(FinalState state) { commit_end("req-000412", state, std::nullopt); }

  [[nodiscard]] std::string final_state(const std::string& job_id) const {
    const auto record = stored_record<FinalRecord>(store_, keys::final_job(JobId(job_id)));
    if (!record) return "";
    return record->state == FinalState::done ? "done" : "cancelled";
  }

  /// Advances the clock by 50 ms and then delivers watch events.
  void answer_watch() {
    clock_.advance(Duration{50});
    store_.deliver_watch_events();
  }

  /// Delivers the oldest held answer of the state service, or watch events when none is held.
  void step() {
    if (store_.held_answers.empty()) {
      answer_watch();
      return;
    }
    const auto next = std::move(store_.held_answers.front());
    store_.held_answers.pop_front();
    next();
  }

  /// Updates this controller's watch cache with the writes of other controllers.
  void update_cache() {
    for (int i = 0; i < 3; ++i) step();
  }

  FakeTime clock_;
  Loop loop_{&clock_};
  Settings settings_;
  ScriptedStore store_;
  WatchCache cache_;
  Cancellations cancellations_;
  std::unique_ptr<JobApi> api_;

 private:
  void commit_end(const std::string& job_id, FinalState state,
                  std::optional<ModRevision> expected_revision) {
    FinalRecord record;
    record.job_id = JobId(job_id);
    record.state = state;
    record.task_count = 2;
    record.ended = clock_.wall();
    Transaction txn;
    if (expected_revision) txn.guard(keys::job(record.job_id), *expected_revision);
    txn.put(keys::final_job(record.job_id), encode(record, kValueBytes))
        .remove(keys::job(record.job_id));
    store_.commit(RequestPriority::binding, txn, [](const CommitResult&) {});
  }
};

}  // namespace marblevale::testing
