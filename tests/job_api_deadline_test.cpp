// A state service that is slow or unavailable: every request is answered before its client times
// out, and requests succeed again once the outage is over.
#include "support/job_api_fixture.hpp"

namespace marblevale {
namespace {

using testing::job_body_with;
using testing::kUserRequests;
using testing::Script;
using testing::UserRequest;

class JobApiDeadlineTest : public testing::JobApiTest {};

// Guards against clients that time out without an answer. Clients wait 2 s for a status query or an
// explanation and 5 s for other requests. When the state service is slower, the user must get a 503
// within that time; an answer that comes later is not sent, and the next request succeeds.
TEST_F(JobApiDeadlineTest, ASlowStateServiceGives503BeforeTheClientTimesOut) {
  int number = 0;
  for (const UserRequest request : kUserRequests) {
    const Duration client_timeout{
        request == UserRequest::status || request == UserRequest::explain ? 2000 : 5000};
    for (const bool ended : {false, true}) {
      const std::string job_id = "req-" + std::to_string(++number);
      SCOPED_TRACE(job_id + ": request " + std::to_string(static_cast<int>(request)));
      const ModRevision mod_revision = accept_on_peer(job_id);
      if (ended) end_job(job_id, mod_revision);
      store_.hold_answers = true;
      std::vector<UserAnswer> answers;
      const auto collect = [&](const UserAnswer& a) { answers.push_back(a); };
      send(request, job_id, collect);
      clock_.advance(scaled(client_timeout, 0.5));
      EXPECT_TRUE(answers.empty()) << "there is time left";
      clock_.advance(scaled(client_timeout, 0.45));
      ASSERT_EQ(answers.size(), 1U);
      EXPECT_EQ(answers.front().status, 503);
      EXPECT_GT(answers.front().retry_after, std::chrono::seconds{0});
      store_.hold_answers = false;
      store_.deliver_held_answers();
      EXPECT_EQ(answers.size(), 1U);
      EXPECT_EQ(send(request, job_id).status, 200);
    }
  }
}

// Guards against queries that can never succeed because each read takes longer than a query's
// deadline. The read continues after its query has timed out, and its final record answers the next
// query at once.
TEST_F(JobApiDeadlineTest, TheReadOfATimedOutQueryServesTheNextOne) {
  end_job("req-000412", accept_on_peer("req-000412"));
  store_.hold_answers = true;
  int status = 0;
  api_->status("req-000412", [&status](const UserAnswer& a) { status = a.status; });
  clock_.advance(Duration{2000});
  EXPECT_EQ(status, 503);
  store_.deliver_held_answers();
  api_->status("req-000412", [&status](const UserAnswer& a) { status = a.status; });
  EXPECT_EQ(status, 200);
}

// Guards against jobs that can't be queried after an outage of the state service: the limits on
// open queries and reads must not starve any accepted job whose query is repeated.
TEST_F(JobApiDeadlineTest, AfterAnOutageEveryAcceptedJobCanBeQueried) {
  constexpr int kJobs = 500;
  json::Document doc;
  for (int i = 0; i < 2 * kJobs; ++i) {
    const std::string job_id = "req-" + std::to_string(i);
    ASSERT_TRUE(json::parse(doc, job_body_with("req-000412", job_id)));
    if (i < kJobs) {
      store_.put(keys::job(JobId(job_id)),
                 encode(JobRecord{std::get<JobSpec>(parse_job(doc)), clock_.wall(), std::nullopt}));
    } else {
      FinalRecord record;
      record.job_id = JobId(job_id);
      store_.put(keys::final_job(record.job_id), encode(record, testing::kValueBytes));
    }
  }
  for (int i = 0; i < 10; ++i) {
    answer_watch();
  }
  store_.unavailable = true;
  store_.hold_answers = true;
  std::vector<int> status(std::size_t{2} * kJobs, 0);
  const auto send = [&](int i) {
    api_->status("req-" + std::to_string(i), [&status, i](const UserAnswer& a) {
      status[static_cast<std::size_t>(i)] = a.status;
    });
  };
  for (int i = 0; i < 2 * kJobs; ++i) send(i);
  store_.deliver_held_answers();
  clock_.advance(Duration{5000});
  for (const int s : status) EXPECT_EQ(s, 503);
  store_.unavailable = store_.hold_answers = false;
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 2 * kJobs; ++i) {
      if (status[static_cast<std::size_t>(i)] != 200) send(i);
    }
    for (int i = 0; i < 10; ++i) {
      clock_.advance(Duration{100});
      store_.deliver_watch_events();
    }
  }
  EXPECT_EQ(std::count(status.begin(), status.end(), 200), 2 * kJobs);
}

// Guards against state that an outage leaves behind: requests about jobs of every kind fail
// repeatedly during the outage, and the first request of each kind after it must be answered.
TEST_F(JobApiDeadlineTest, AfterAnOutageTheFirstRequestOnEachPathIsAnswered) {
  const std::map<std::string, std::string> expected{
      {"req-1", "queued"},     // in the cache
      {"req-2", "done"},       // in the cache, and has ended since
      {"req-3", "queued"},     // accepted by a peer, not yet in the cache
      {"req-4", "done"},       // ended, and not queried yet
      {"req-5", "done"},       // ended, and in the cache of final records
      {"req-6", "cancelled"},  // cancelled, but not yet ended
      {"req-7", "cancelled"},  // cancelled, but not yet ended or in the cache
  };
  accept_on_peer("req-1");
  const ModRevision req_2_revision = accept_on_peer("req-2");
  end_job("req-4", accept_on_peer("req-4"));
  end_job("req-5", accept_on_peer("req-5"));
  accept_on_peer("req-6", clock_.wall());
  update_cache();
  EXPECT_EQ(status_in(status_of("req-5")), "done");
  end_job("req-2", req_2_revision);
  accept_on_peer("req-3");
  accept_on_peer("req-7", clock_.wall());
  store_.unavailable = true;
  store_.scripts.assign(1000, Script::refuse);
  const std::vector<UserRequest> requests{UserRequest::status, UserRequest::explain,
                                          UserRequest::submit, UserRequest::cancel};
  for (int round = 0; round < 20; ++round) {
    std::vector<UserAnswer> answers;
    for (const auto& [job_id, state] : expected) {
      for (const UserRequest request : requests) {
        send(request, job_id, [&answers](const UserAnswer& a) { answers.push_back(a); });
      }
    }
    clock_.advance(Duration{5000});
    ASSERT_EQ(answers.size(), expected.size() * requests.size());
    for (const auto& a : answers) EXPECT_TRUE(a.status == 503 || status_in(a) == "done") << a.body;
  }
  store_.unavailable = false;
  store_.scripts.clear();
  for (const auto& [job_id, state] : expected) {
    SCOPED_TRACE(job_id);
    for (const UserRequest request : requests) {
      const auto answer = send(request, job_id);
      EXPECT_EQ(answer.status, 200);
      const bool cancels = request == UserRequest::cancel && state == "queued";
      EXPECT_EQ(status_in(answer), cancels ? "cancelled" : state);
    }
  }
}

}  // namespace
}  // namespace marblevale
