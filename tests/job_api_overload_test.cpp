// More status queries than the limit: a bounded number is answered, the others get a 503 at once,
// and no query stays pending.
#include "support/job_api_fixture.hpp"

namespace marblevale {
namespace {

using testing::job_body_with;
using testing::kJobBody;

/// Users query their jobs far more often than usual, within one interval of the watch.
class JobApiOverloadTest : public testing::JobApiTest {
 protected:
  struct AnswerCount {
    int answered = 0;  // 200
    int refused = 0;   // 503 with Retry-After
    [[nodiscard]] int all() const { return answered + refused; }
  };
  static constexpr int kJobs = 50;
  static std::string job_name(int number) { return "req-0005" + std::to_string(10 + number); }

  void accept_jobs() {
    for (int i = 0; i < kJobs; ++i) accept_on_peer(job_name(i));
    store_.deliver_watch_events();
  }
  void send_queries(int queries) {
    for (int i = 0; i < queries; ++i) {
      api_->status(job_name(i % kJobs), [this](const UserAnswer& a) {
        if (a.status == 200) ++count_.answered;
        if (a.status == 503 && a.retry_after > std::chrono::seconds{0}) ++count_.refused;
      });
    }
  }
  AnswerCount count_;
};

TEST_F(JobApiOverloadTest, OneWatchResponseAnswersOpenQueriesAndExcessOnesAreRejectedAtOnce) {
  accept_jobs();
  store_.reads = 0;
  const std::size_t commits = store_.commits.size();
  for (int interval = 1; interval <= 3; ++interval) {
    count_ = {};
    send_queries(5'000);
    EXPECT_GE(count_.refused, 4'500) << "rejected at once, not when the watch returns";
    answer_watch();  // was opened before the queries came, so it answers none
    answer_watch();
    EXPECT_EQ(count_.all(), 5'000);
    EXPECT_GE(count_.answered, 300) << "in each interval some users learn something";
    EXPECT_LE(count_.answered, 500) << "answers at one word hold up everything else";
  }
  EXPECT_EQ(store_.reads, 0);
  EXPECT_EQ(store_.commits.size(), commits);
}

TEST_F(JobApiOverloadTest, CancellationsAndRepeatedSubmissionsAreNotRejected) {
  accept_jobs();
  send_queries(10'000);
  EXPECT_EQ(status_in(cancel(job_name(0))), "cancelled");
  send_queries(10'000);
  EXPECT_EQ(submit(job_body_with("req-000412", job_name(1))).status, 200);
}

TEST_F(JobApiOverloadTest, QueriesForAFinishedJobCostTwoReads) {
  submit(kJobBody);
  finish(FinalState::done);
  step();
  step();
  store_.reads = 0;
  int answered = 0;
  for (int i = 0; i < 5'000; ++i) {
    api_->status("req-000412", [&](const UserAnswer& a) { answered += a.status == 200 ? 1 : 0; });
  }
  EXPECT_EQ(answered, 5'000);
  EXPECT_LE(store_.reads, 2) << "the job, then its end";
}

// Guards against unanswered queries that count as open forever and use up the limit.
TEST_F(JobApiOverloadTest, NoQueryStaysPendingAfterAnOutage) {
  accept_jobs();
  send_queries(1'000);
  clock_.advance(Duration{5'000});  // the watch does not answer
  EXPECT_EQ(count_.refused, 1'000);
  store_.deliver_watch_events();
  count_ = {};
  send_queries(300);
  answer_watch();
  answer_watch();
  EXPECT_EQ(count_.answered, 300);
}

}  // namespace
}  // namespace marblevale
