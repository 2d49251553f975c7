// Releases of unknown outcome: a change that may still be applied counts against the team's quota.
// The tests sum up the team's usage from the records in the state service.
#include "support/leader_loop_fixture.hpp"

namespace marblevale {
namespace {

using testing::LeaderLoopTest;
using testing::Script;

constexpr double kLimit = 2;  // GPUs of the fixture's only team

class ReleaseOutcomeTest : public LeaderLoopTest {
 protected:
  ReleaseOutcomeTest() { machine("vm-1"); }

  static std::string slice_key(const std::string& job_id) { return keys::slice(JobId(job_id), 0); }

  void submit_gang(const std::string& job_id, double gpus, Urgency urgency = Urgency::standard) {
    JobSpec spec = testing::gang(job_id, 1, gpus, 60);
    spec.urgency = urgency;
    submit(spec);
  }

  /// Applies the script `first` to the first commit that writes the job's slice, and refuses the
  /// next `refusals` commits.
  void refuse_retries_after(Script first, const std::string& job_id, std::size_t refusals) {
    std::deque<Script>& scripts = store_.key_scripts[slice_key(job_id)];
    scripts.assign(refusals, Script::refuse);
    scripts.push_front(first);
  }

  /// Applies the delayed commit.
  void execute_delayed_commit() {
    store_.apply_delayed();
    run(Duration{100});
  }
};

// The first commit of the release got no answer and is applied late. The refusal of its retry does
// not settle the first commit, so the capacity must not go to another job.
TEST_F(ReleaseOutcomeTest, ARefusedRetryDoesNotResolveTheUnansweredCommit) {
  begin();
  refuse_retries_after(Script::delay, "req-1", 60);
  submit_gang("req-1", 2);
  run(Duration{60});
  ASSERT_EQ(store_.delayed.size(), 1U);
  submit_gang("req-2", 1, Urgency::urgent);
  run(Duration{3000});
  execute_delayed_commit();
  EXPECT_LE(gpus_in_use({{"req-1", 2}, {"req-2", 1}}), kLimit);
}

// The same for an array, whose capacity another job's tasks would take.
TEST_F(ReleaseOutcomeTest, ARefusedRetryOfAnArraysReleaseDoesNotResolveIt) {
  begin();
  refuse_retries_after(Script::delay, "req-1", 60);
  submit(testing::batch("req-1", 2, 1, 60));
  run(Duration{60});
  ASSERT_EQ(store_.delayed.size(), 1U);
  submit_gang("req-2", 2, Urgency::urgent);
  run(Duration{3000});
  execute_delayed_commit();
  EXPECT_LE(gpus_in_use({{"req-1", 1}, {"req-2", 2}}), kLimit);
}

// An unanswered release does not count forever. When the state service answers again, the retry
// settles the release, and the team's next job starts after the first job has ended.
TEST_F(ReleaseOutcomeTest, AnUnansweredReleaseIsResolvedOnceTheStateServiceRecovers) {
  begin();
  refuse_retries_after(Script::drop_request, "req-1", 5);
  submit_gang("req-1", 2);
  run(Duration{60});
  submit_gang("req-2", 1, Urgency::urgent);
  run(Duration{14'000});
  ASSERT_EQ(tasks("req-1").size(), 1U) << "the repeat was committed";
  EXPECT_LE(gpus_in_use({{"req-1", 2}, {"req-2", 1}}), kLimit);
  TaskRecord ended;
  ended.state = TaskState::idle;
  ended.attempt = Attempt(1);
  ended.since = time_.wall();
  set_task("req-1", ended);
  run(Duration{1000});
  EXPECT_EQ(gpus_in_use({{"req-2", 1}}), 1) << "the team's next job has its turn";
}

// The session ends and a new one begins under the same leader record, so the term continues. Open
// releases stay open, and an answer that arrives in between counts.
TEST_F(ReleaseOutcomeTest, AReleaseStaysOpenThroughAnInterruptionOfItsTerm) {
  begin();
  refuse_retries_after(Script::delay, "req-1", 60);
  submit_gang("req-1", 2);
  run(Duration{60});
  const ModRevision term = election_.term();
  store_.expire_lease(LeaseId(1));
  store_.hold_answers = true;
  run(Duration{1100});
  for (const auto& answer : std::exchange(store_.held_answers, {}))
    answer();  // the session has ended
  run(Duration{1000});
  ASSERT_FALSE(election_.is_established_leader()) << "the next session is not open yet";
  store_.hold_answers = false;
  store_.deliver_held_answers();
  run(Duration{500});
  ASSERT_TRUE(election_.is_established_leader());
  ASSERT_EQ(election_.term(), term);
  submit_gang("req-2", 1, Urgency::urgent);
  run(Duration{1000});
  execute_delayed_commit();
  EXPECT_LE(gpus_in_use({{"req-1", 2}, {"req-2", 1}}), kLimit);
}

// The explanation of a waiting job names the release that has no answer.
TEST_F(ReleaseOutcomeTest, AJobThatWaitsForAnOpenReleaseGetsANote) {
  begin();
  refuse_retries_after(Script::drop_request, "req-1", 200);
  submit_gang("req-1", 2);
  run(Duration{60});
  submit_gang("req-2", 1, Urgency::urgent);
  run(Duration{12'000});
  const auto stored_notes = notes("req-2");
  EXPECT_EQ(std::count_if(stored_notes.begin(), stored_notes.end(),
                          [](const std::string& note) {
                            return note.find("a release of req-1 has no answer") !=
                                   std::string::npos;
                          }),
            1);
}

// Usage is counted from placed tasks, never from an expected end. An overrunning task must count at
// every moment, however often its expected end passes.
TEST_F(ReleaseOutcomeTest, AnOverrunningTaskCountsUntilItEnds) {
  JobSpec overrunning = testing::gang("req-1", 1, 2, 1);
  submit(overrunning);
  TaskRecord task = bound("vm-1");
  task.running_since = time_.wall();
  set_task("req-1", task);
  begin();
  submit_gang("req-2", 1, Urgency::standard);
  for (int second = 0; second < 120; ++second) {
    run(Duration{1000});
    ASSERT_TRUE(tasks("req-2").empty()) << "after " << second << " s";
  }
}

// The commit of a stop got no answer, and its retry is refused. The task that it stops counts until
// it is proven to have ended.
TEST_F(ReleaseOutcomeTest, AnUnansweredStopFreesNoQuota) {
  submit(testing::gang("req-1", 1, 2, 600));
  set_task("req-1", bound("vm-1"));
  begin();
  refuse_retries_after(Script::delay, "req-1", 20);
  MachineRecord reclaimed = cache_.records().machines.at(MachineId("vm-1")).record;
  reclaimed.reclaim_at = time_.wall() + Duration{4'000};
  store_.put_machine(reclaimed);
  machine("vm-2");
  run(Duration{500});
  ASSERT_EQ(store_.delayed.size(), 1U) << "the stop";
  submit_gang("req-2", 1, Urgency::urgent);
  run(Duration{5'000});
  EXPECT_TRUE(tasks("req-2").empty());
  store_.apply_delayed();
  run(Duration{5'000});
  EXPECT_TRUE(tasks("req-1").at(0).stop);
  EXPECT_TRUE(tasks("req-2").empty());
}

// The cache shows this controller's own commits before earlier commits of others. A release may
// have been applied just before this controller cancelled its job.
TEST_F(ReleaseOutcomeTest, AnOwnCommitOfTheJobDoesNotResolveAnEarlierRelease) {
  begin();
  run(Duration{600});
  refuse_retries_after(Script::drop_answer, "req-1", 3);
  submit_gang("req-1", 2);
  run(Duration{10});
  run_without_watch(Duration{60});
  ASSERT_EQ(tasks("req-1").size(), 1U) << "it was applied; nobody said so";
  const auto job = cache_.records().jobs.at(JobId("req-1"));
  JobRecord cancelled = job.record;
  cancelled.cancelled = time_.wall();
  Transaction cancel;
  cancel.guard(keys::job(JobId("req-1")), job.mod_revision);
  cancel.put(keys::job(JobId("req-1")), encode(cancelled));
  cache_.commit(RequestPriority::binding, cancel, [](const CommitResult&) {});
  Transaction accept;
  accept.put(keys::job(JobId("req-2")),
             encode(JobRecord{testing::gang("req-2", 1, 1, 60), time_.wall(), std::nullopt}));
  cache_.commit(RequestPriority::submission, accept, [](const CommitResult&) {});
  run_without_watch(Duration{2000});
  EXPECT_LE(gpus_in_use({{"req-1", 2}, {"req-2", 1}}), kLimit);
}

}  // namespace
}  // namespace marblevale
