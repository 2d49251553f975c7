// Status queries: which reads and watch responses may answer a query, also while the job ends.
#include "support/job_api_fixture.hpp"

namespace marblevale {
namespace {

using testing::job_body_with;
using testing::kJobBody;

class JobApiStatusTest : public testing::JobApiTest {};

TEST_F(JobApiStatusTest, UnknownJobsGet404OnlyAfterASuccessfulRead) {
  EXPECT_EQ(status_of("req-1").status, 404);
  store_.unavailable = true;
  EXPECT_EQ(status_of("req-1").status, 503);
  EXPECT_EQ(status_of("nonsense").status, 404);
}

// Guards against a query that is answered by a read sent before the query: the answer could be
// older than a state that another controller has already reported to the user.
TEST_F(JobApiStatusTest, AQueryIsNotAnsweredByAReadSentBeforeIt) {
  json::Document doc;
  ASSERT_TRUE(json::parse(doc, kJobBody));
  // The job was just accepted by another controller and is not yet in this controller's cache.
  store_.put(keys::job(JobId("req-000412")),
             encode(JobRecord{std::get<JobSpec>(parse_job(doc)), clock_.wall(), std::nullopt}));
  store_.hold_answers = true;
  std::string first;
  std::string second;
  api_->status("req-000412", [&](const UserAnswer& a) { first = a.body; });
  store_.hold_answers = false;
  finish(FinalState::done);
  api_->status("req-000412", [&](const UserAnswer& a) { second = a.body; });
  EXPECT_EQ(second, "");
  store_.deliver_held_answers();
  EXPECT_NE(first.find("queued"), std::string::npos);
  EXPECT_NE(second.find("done"), std::string::npos);
}

TEST_F(JobApiStatusTest, AQueryWaitsForAWatchOpenedAfterIt) {
  EXPECT_EQ(submit(kJobBody).status, 201);
  clock_.advance(Duration{10});
  UserAnswer out = unanswered();
  api_->status("req-000412", [&](const UserAnswer& a) { out = a; });
  // This watch was opened before the query, so newer commits may be missing from its response.
  store_.deliver_watch_events();
  EXPECT_EQ(out.status, 0);
  finish(FinalState::done);
  wait_for_answer(out);
  EXPECT_NE(out.body.find("done"), std::string::npos);
  // No query waits forever: if the watch does not answer, the query gets a 503.
  UserAnswer late = unanswered();
  EXPECT_EQ(submit(job_body_with("req-000412", "req-000413")).status, 201);
  api_->status("req-000413", [&](const UserAnswer& a) { late = a; });
  clock_.advance(Duration{2000});
  EXPECT_EQ(late.status, 503);
  EXPECT_GT(late.retry_after, std::chrono::seconds{0});
}

// Guards against a 404 for a job that ends between the two reads of a query. The job's record is
// read first and the final record second; in the opposite order both reads would find nothing.
TEST_F(JobApiStatusTest, AJobThatEndsBetweenTheTwoReadsOfAQueryIsNeverUnknown) {
  const ModRevision mod_revision = accept_on_peer("req-000412");
  store_.hold_answers = true;
  UserAnswer out = unanswered();
  api_->status("req-000412", [&out](const UserAnswer& a) { out = a; });
  end_job("req-000412", mod_revision);
  store_.hold_answers = false;
  store_.deliver_held_answers();
  EXPECT_EQ(out.status, 200);
  // The same for a job that is accepted and ends between the two reads.
  store_.hold_answers = true;
  out.status = 0;
  api_->status("req-000413", [&out](const UserAnswer& a) { out = a; });
  end_job("req-000413", accept_on_peer("req-000413"));
  store_.hold_answers = false;
  store_.deliver_held_answers();
  EXPECT_EQ(out.status, 200);
  EXPECT_EQ(status_in(out), "done");
}

// Guards against a deleted job that reappears in the cache: the answer to a commit is delayed until
// after the watch has delivered both the commit and the later deletion of its record.
TEST_F(JobApiStatusTest, ADelayedCommitAnswerDoesNotRestoreADeletedJobInTheCache) {
  store_.hold_answers = true;
  api_->submit(kJobBody, [](const UserAnswer&) {});
  store_.hold_answers = false;
  end_job("req-000412", store_.get(keys::job(JobId("req-000412")))->mod_revision);
  for (int i = 0; i < 3; ++i) {
    answer_watch();
  }
  store_.deliver_held_answers();
  EXPECT_FALSE(cache_.records().jobs.contains(JobId("req-000412")));
  EXPECT_EQ(status_in(status_of("req-000412")), "done");
}

// Guards against a job that is called running for good after another controller has called it done:
// the answer that named both its end and its acceptance named the end first.
TEST_F(JobApiStatusTest, AJobWhoseEndIsNamedBeforeItsAcceptanceIsDone) {
  update_cache();
  store_.answer_order = testing::AnswerOrder::newest_first;
  end_job("req-000412", accept_on_peer("req-000412"));
  update_cache();
  EXPECT_EQ(status_in(status_of("req-000412")), "done");
}

}  // namespace
}  // namespace marblevale
