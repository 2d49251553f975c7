// Answers about a job while the job ends or while delayed commits are executed: all answers agree
// with the job's committed final record.
#include "support/job_api_fixture.hpp"

namespace marblevale {
namespace {

using testing::kUserRequests;
using testing::Script;
using testing::UserRequest;

/// A request during which the job ends, `end_after` steps after the request was sent.
struct EndRace {
  UserRequest request;
  bool cached;  // the job is in this controller's watch cache
  int end_after;
};

std::ostream& operator<<(std::ostream& out, const EndRace& race) {
  return out << "request " << static_cast<int>(race.request)
             << (race.cached ? ", cached" : ", accepted on a peer") << ", ends after step "
             << race.end_after;
}

std::vector<EndRace> end_races() {
  std::vector<EndRace> races;
  for (const UserRequest request : kUserRequests) {
    for (const bool cached : {true, false}) {
      for (int end_after = 0; end_after < 8; ++end_after) {
        races.push_back({request, cached, end_after});
      }
    }
  }
  return races;
}

class JobApiConsistencyTest : public testing::JobApiTest {
 protected:
  /// Sends the request, ends the job meanwhile, checks that there is exactly one answer and returns
  /// it.
  UserAnswer send_while_job_ends(const EndRace& race, const std::string& job_id) {
    const ModRevision mod_revision = accept_on_peer(job_id);
    if (race.cached) update_cache();
    store_.hold_answers = true;
    UserAnswer out = unanswered();
    int answers = 0;
    send(race.request, job_id, [&](const UserAnswer& a) {
      out = a;
      ++answers;
    });
    for (int i = 0; i < 20; ++i) {
      if (i == race.end_after) end_job(job_id, mod_revision);
      step();
    }
    store_.hold_answers = false;
    store_.deliver_held_answers();
    EXPECT_EQ(answers, 1);
    EXPECT_EQ(out.status, 200) << out.body;
    return out;
  }

  static void expect_agrees(UserRequest request, const UserAnswer& answer,
                            const std::string& final) {
    if (request == UserRequest::cancel) {
      EXPECT_EQ(status_in(answer), final) << "a cancellation has one of two ends";
      return;
    }
    EXPECT_EQ(final, "done");
    EXPECT_TRUE(status_in(answer) == "done" || status_in(answer) == "queued") << answer.body;
  }
};

// Guards against answers that contradict the final record. The job's last task ends at each point
// between a request's reads and commits, for jobs in this controller's cache and for jobs accepted
// by a peer.
TEST_F(JobApiConsistencyTest, EveryAnswerAgreesWithTheFinalRecordWheneverTheJobEnds) {
  // Another controller, whose cache is not started, so it must read every job that it reports.
  WatchCache peer_cache(loop_, clock_, store_, 2);
  Cancellations peer_cancellations(clock_, peer_cache);
  JobApi peer(loop_, clock_, settings_, store_, peer_cache, peer_cancellations);
  int number = 0;
  for (const EndRace& race : end_races()) {
    const std::string job_id = "req-" + std::to_string(++number);
    std::ostringstream trace;
    trace << job_id << ": " << race;
    SCOPED_TRACE(trace.str());
    const UserAnswer answer = send_while_job_ends(race, job_id);
    const std::string final = final_state(job_id);
    expect_agrees(race.request, answer, final);
    for (JobApi* api : {api_.get(), &peer}) {
      for (const UserRequest next_request : kUserRequests) {
        EXPECT_EQ(status_in(send(next_request, job_id, api)), final);
      }
    }
  }
}

// Guards against a delayed commit that changes an already reported state. When a job ends, its
// record is deleted, so a guard on revision 0 of that record would succeed again. A delayed
// submission must conflict with the final record, which is never deleted. A delayed cancellation
// must conflict because it is guarded by the revision of the job's record.
TEST_F(JobApiConsistencyTest, DelayedCommitsDoNotChangeReportedStates) {
  for (const bool cancelled : {false, true}) {
    const std::string job_id = cancelled ? "req-1" : "req-2";
    store_.scripts = {Script::delay};
    EXPECT_EQ(send(UserRequest::submit, job_id).status, 201) << "by the second commit";
    const ModRevision mod_revision = store_.get(keys::job(JobId(job_id)))->mod_revision;
    store_.scripts = {Script::delay, Script::delay, Script::delay};
    EXPECT_EQ(send(UserRequest::cancel, job_id).status, 503);
    if (cancelled) {
      EXPECT_EQ(status_in(send(UserRequest::cancel, job_id)), "cancelled");
    }
    // The delayed submission is executed once while the job exists. The other delayed commits, and
    // the submission a second time, are executed after the job has ended.
    ASSERT_EQ(store_.delayed.size(), 4U);
    const Transaction submission = store_.delayed.front();
    EXPECT_EQ(store_.apply_delayed().outcome, Outcome::conflict);
    end_job(job_id, mod_revision);
    const std::string final = cancelled ? "cancelled" : "done";
    EXPECT_EQ(final_state(job_id), final);
    store_.delayed.push_back(submission);
    while (!store_.delayed.empty()) EXPECT_EQ(store_.apply_delayed().outcome, Outcome::conflict);
    EXPECT_FALSE(store_.get(keys::job(JobId(job_id))));
    EXPECT_EQ(final_state(job_id), final);
    for (const UserRequest request : kUserRequests) {
      EXPECT_EQ(status_in(send(request, job_id)), final);
    }
  }
}

}  // namespace
}  // namespace marblevale
