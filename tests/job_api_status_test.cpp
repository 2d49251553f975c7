// Status queries: which reads and watch responses may answer them, also while the job ends.
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

// A query that joined a read sent before it was answered
// with a state older than the one that another controller had reported to its user meanwhile.
TEST_F(JobApiStatusTest, AQueryIsNotAnsweredByAReadSentBeforeIt) {
  json::Document doc;
  ASSERT_TRUE(json::parse(doc, kJobBody));
  // Accepted by another controller a moment ago: this one's copy does not have it yet.
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
  store_.deliver_watch_events();  // opened before the query: what it does not deliver may have
                                  // happened since
  EXPECT_EQ(out.status, 0);
  finish(FinalState::done);
  wait_for_answer(out);
  EXPECT_NE(out.body.find("done"), std::string::npos);
  // No query waits forever: a watch that does not answer costs a 503.
  UserAnswer late = unanswered();
  EXPECT_EQ(submit(job_body_with("req-000412", "req-000413")).status, 201);
  api_->status("req-000413", [&](const UserAnswer& a) { late = a; });
  clock_.advance(Duration{2000});
  EXPECT_EQ(late.status, 503);
  EXPECT_GT(late.retry_after, std::chrono::seconds{0});
}

// A question about a job whose record has moved between its two reads, in the order in which they
// are sent: first the job, then its end. The other way round would make it unknown.
TEST_F(JobApiStatusTest, AJobThatEndsBetweenTheTwoReadsOfAQueryIsNeverUnknown) {
  const ModRevision mod_revision = accept_on_peer("req-000412");
  store_.hold_answers = true;
  UserAnswer out = unanswered();
  api_->status("req-000412", [&out](const UserAnswer& a) { out = a; });
  end_job("req-000412", mod_revision);
  store_.hold_answers = false;
  store_.deliver_held_answers();
  EXPECT_EQ(out.status, 200);
  // And one that is accepted and ends between them.
  store_.hold_answers = true;
  out.status = 0;
  api_->status("req-000413", [&out](const UserAnswer& a) { out = a; });
  end_job("req-000413", accept_on_peer("req-000413"));
  store_.hold_answers = false;
  store_.deliver_held_answers();
  EXPECT_EQ(out.status, 200);
  EXPECT_EQ(status_in(out), "done");
}

// The answer to a commit can be held up while the watch tells the commit and what became of its
// record afterwards: it must not bring back into the copy what has been deleted.
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

}  // namespace
}  // namespace marblevale
