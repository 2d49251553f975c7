// Cancellations through the users' interface: which answers users get, and which cancellations are
// listed for other controllers, while commits conflict, are lost or are delayed.
#include "support/job_api_fixture.hpp"

namespace marblevale {
namespace {

using testing::kJobBody;
using testing::kUserRequests;
using testing::Script;
using testing::UserRequest;

class JobApiCancelTest : public testing::JobApiTest {};

TEST_F(JobApiCancelTest, ACancellationIsReportedOnceCommittedAndIsFinal) {
  EXPECT_EQ(cancel("req-000412").status, 404);
  submit(kJobBody);
  store_.scripts = {Script::refuse};
  EXPECT_EQ(cancel("req-000412").status, 503);
  store_.scripts = {Script::drop_answer};
  const auto answer = cancel("req-000412");  // outcome unknown, then read back
  EXPECT_EQ(answer.status, 200);
  EXPECT_NE(answer.body.find("cancelled"), std::string::npos);
  EXPECT_NE(status_of("req-000412").body.find("cancelled"), std::string::npos);
}

TEST_F(JobApiCancelTest, CancellingAFinishedJobReturnsDone) {
  submit(kJobBody);
  finish(FinalState::done);
  EXPECT_NE(cancel("req-000412").body.find("done"), std::string::npos);
}

// Guards against a job that can't be cancelled: the state service lowers its value limit after the
// job was accepted by this or an earlier version, and the record is too large to be written again.
TEST_F(JobApiCancelTest, AJobWhoseRecordExceedsALoweredLimitCanBeCancelled) {
  std::string text = kJobBody;
  std::string types = "[\"g8\"";
  for (int i = 0; i < 20; ++i) types += ",\"" + std::string(90, 'g') + "\"";
  text.replace(text.find("[\"g8\"]"), 6, types + "]");
  ASSERT_EQ(submit(text).status, 201);
  store_.announce_limits(2048, 5);
  store_.enforces_announced_limits = true;
  const UserAnswer answer = cancel("req-000412");
  EXPECT_EQ(answer.status, 200);
  EXPECT_NE(answer.body.find("\"cancelled\""), std::string::npos);
  EXPECT_LE(store_.get("mv/jobs/req-000412")->value.size(), 2048U);
}

TEST_F(JobApiCancelTest, ACancellationThatConflictsWithTheJobsEndReturnsDone) {
  const ModRevision mod_revision = accept_on_peer("req-000412");
  update_cache();
  // The job ends after the watch response that the cancellation waits for and before the commit of
  // the cancellation.
  bool ended = false;
  cache_.listen([&](RecordKind kind, const std::string&) {
    if (kind == RecordKind::guarantee_record && !ended) end_job("req-000412", mod_revision);
    ended = ended || kind == RecordKind::guarantee_record;
  });
  const std::size_t commits = store_.commits.size();
  UserAnswer out = unanswered();
  api_->cancel("req-000412", [&out](const UserAnswer& a) { out = a; });
  step();  // answers the watch opened before the request, which does not prove the cache fresh
  GuaranteeRecord guarantee_record;
  guarantee_record.job_id = JobId("req-000412");
  store_.put(keys::guarantee_record(guarantee_record.job_id),
             encode(guarantee_record, testing::kValueBytes));
  wait_for_answer(out);
  EXPECT_TRUE(ended);
  EXPECT_EQ(store_.commits.size(), commits + 2) << "the end, and the cancellation that lost";
  EXPECT_EQ(out.status, 200);
  EXPECT_EQ(status_in(out), "done");
  EXPECT_EQ(final_state("req-000412"), "done");
}

// Guards against reporting a cancellation that was not committed. The commit is executed, lost,
// delayed or refused, and its answer may be missing, for jobs in this controller's cache and for
// jobs accepted by a peer. The outcome must be read back before the user is answered.
TEST_F(JobApiCancelTest, ACancellationIsReportedOnlyAfterReadBack) {
  struct Case {
    std::deque<Script> scripts;
    int status;
  };
  const std::vector<Case> cases{
      {{Script::drop_answer}, 200},
      {{Script::drop_request}, 200},
      {{Script::delay}, 200},
      {{Script::drop_request, Script::delay, Script::drop_answer}, 200},
      {{Script::refuse}, 503},
      {{Script::drop_request, Script::drop_request, Script::drop_request}, 503},
      {{Script::delay, Script::delay, Script::delay}, 503},
  };
  int number = 0;
  for (const Case& c : cases) {
    for (const bool cached : {true, false}) {
      const std::string job_id = "req-" + std::to_string(++number);
      SCOPED_TRACE(job_id);
      accept_on_peer(job_id);
      if (cached) {
        update_cache();
      }
      const auto is_cancelled = [&] {
        json::Document doc;
        JobRecord record;
        const auto entry = store_.get(keys::job(JobId(job_id)));
        return entry && json::parse(doc, entry->value) && decode(doc, record) && record.cancelled;
      };
      store_.scripts = c.scripts;
      UserAnswer out = unanswered();
      api_->cancel(job_id, [&](const UserAnswer& a) {
        out = a;
        EXPECT_EQ(a.status == 200, is_cancelled())
            << "reported before it was committed, or not reported";
      });
      wait_for_answer(out);
      EXPECT_EQ(out.status, c.status);
      EXPECT_EQ(status_in(out), c.status == 200 ? "cancelled" : "");
      EXPECT_TRUE(store_.scripts.empty());
      // The reported state holds even after delayed commits are executed.
      while (!store_.delayed.empty()) {
        const Outcome expected = is_cancelled() ? Outcome::conflict : Outcome::done;
        EXPECT_EQ(store_.apply_delayed().outcome, expected);
      }
      EXPECT_EQ(status_in(send(UserRequest::status, job_id)),
                is_cancelled() ? "cancelled" : "queued");
    }
  }
}

// Guards against a peer that misses a cancellation which a user knows of. Peers rely on each
// other's lists, so any request that reports "cancelled" to a user must list the cancellation
// first.
TEST_F(JobApiCancelTest, EveryRequestListsACancellationBeforeReportingIt) {
  const auto is_listed = [&](const std::string& job_id) {
    const auto list = cancellations_.list();
    return std::any_of(list.items.begin(), list.items.end(),
                       [&](const auto& item) { return item.job_id == job_id; });
  };
  int number = 0;
  for (const UserRequest request : kUserRequests) {
    for (const bool cached : {true, false}) {
      const std::string job_id = "req-" + std::to_string(++number);
      SCOPED_TRACE(job_id + ": request " + std::to_string(static_cast<int>(request)));
      accept_on_peer(job_id, clock_.wall());  // cancelled on the peer as well
      if (cached) {
        update_cache();
      }
      clock_.advance(Duration{60'000});
      EXPECT_EQ(is_listed(job_id), cached);
      UserAnswer out = unanswered();
      send(request, job_id, [&](const UserAnswer& a) {
        out = a;
        EXPECT_TRUE(is_listed(job_id));
      });
      wait_for_answer(out);
      EXPECT_EQ(status_in(out), "cancelled");
    }
  }
}

// A cancellation whose commit got no answer must be neither reported nor listed until a read shows
// that it was committed.
TEST_F(JobApiCancelTest, ACancellationOfUnknownOutcomeIsNeitherReportedNorListed) {
  accept_on_peer("req-000412");
  update_cache();
  store_.scripts = {Script::delay, Script::delay, Script::delay};
  EXPECT_EQ(send(UserRequest::cancel, "req-000412").status, 503);
  EXPECT_TRUE(cancellations_.list().items.empty());
  EXPECT_EQ(store_.apply_delayed().outcome, Outcome::done);
  EXPECT_EQ(status_in(send(UserRequest::status, "req-000412")), "cancelled");
  EXPECT_EQ(cancellations_.list().items.size(), 1U);
}

}  // namespace
}  // namespace marblevale
