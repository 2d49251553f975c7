// What a leader holds for the widest jobs that the protocol accepts: 100,000 tasks. Guards against
// a release that holds each slice several times, which ended every leader that tried it for memory.
#include "protocol/limits.hpp"
#include "support/heap_use.hpp"
#include "support/leader_loop_fixture.hpp"

namespace marblevale {
namespace {

using testing::HeapPeak;

/// The least memory of a controller in any deployment is 56 MB.
constexpr std::size_t kControllerBytes = std::size_t{56} * 1'000'000;
constexpr std::uint32_t kMostTasks = 100'000;
/// Enough machines for all tasks of a gang to run at the same time.
constexpr int kMachines = 400;

JobSpec tiny_tasks(JobSpec job) {
  job.need = {0.001, 0, 0.0001};
  job.checkpoint_interval = Duration{0};
  return job;
}

JobSpec wide_gang(const std::string& job_id, std::uint32_t tasks) {
  return tiny_tasks(testing::gang(job_id, tasks, 0, 30));
}

class WideJobMemoryTest : public testing::LeaderLoopTest {
 protected:
  void begin_with_machines(int machines = kMachines) {
    for (int i = 0; i < machines; ++i) machine("vm-" + std::to_string(1000 + i));
    begin();
  }

  /// Submits the gang and runs the leader, which gets no answer to its commits and sees no further
  /// change.
  void release_without_answers(const JobSpec& gang) {
    run(Duration{1'000});
    watch_answers_ = false;
    store_.hold_answers = true;
    store_.commits.clear();
    const std::string job = encode(JobRecord{gang, time_.wall(), {}});
    const std::string key = keys::job(gang.job_id);
    cache_.apply({key, job, store_.put(key, job)});
    run(Duration{200});
  }
  void answer_again() {
    watch_answers_ = true;
    store_.hold_answers = false;
    store_.deliver_held_answers();
  }

  /// Runs the leader, and forgets what the state service of the test keeps for its tests.
  void run_and_forget_commits(Duration duration) {
    for (Duration passed{}; passed < duration; passed += Duration{10}) {
      run(Duration{10});
      store_.commits.clear();
    }
  }

  [[nodiscard]] std::map<Attempt, std::size_t> placed_by_attempt(const std::string& job_id) const {
    std::map<Attempt, std::size_t> out;
    for (const auto& [key, slice] : cache_.records().slices) {
      if (key.job_id != JobId(job_id)) continue;
      for (const TaskRecord& task : slice.record.tasks) {
        if (task.placed()) ++out[task.attempt];
      }
    }
    return out;
  }

  /// Bytes of the values of all commits that were sent and not answered.
  [[nodiscard]] std::size_t unanswered_bytes() const {
    std::size_t bytes = 0;
    for (const Transaction& txn : store_.commits) {
      for (const Put& put : txn.puts) bytes += put.value.size();
    }
    return bytes;
  }
};

TEST_F(WideJobMemoryTest, TheReleaseOfAGangFitsTheSmallestController) {
  begin_with_machines();
  const HeapPeak peak;
  submit(wide_gang("req-1", kMostTasks));
  run_and_forget_commits(Duration{1'000});
  EXPECT_EQ(placed_by_attempt("req-1"), (std::map<Attempt, std::size_t>{{Attempt(1), kMostTasks}}));
  EXPECT_LT(peak.bytes(), kControllerBytes);
  EXPECT_EQ(leader_loop_.held().open_releases, 0U);
}

// Without answers, the transactions that are sent must not accumulate.
TEST_F(WideJobMemoryTest, FewStepsOfAGangAreUnansweredAtATime) {
  begin_with_machines();
  release_without_answers(wide_gang("req-1", kMostTasks));
  ASSERT_FALSE(store_.commits.empty());
  EXPECT_LE(unanswered_bytes(), kMaxRequestBytes * 8);
  EXPECT_EQ(leader_loop_.held().releasing_tasks, kMostTasks) << "all tasks count meanwhile";
  answer_again();
  run_and_forget_commits(Duration{1'000});
  EXPECT_EQ(placed_by_attempt("req-1"), (std::map<Attempt, std::size_t>{{Attempt(1), kMostTasks}}));
}

TEST_F(WideJobMemoryTest, ASmallJobStartsBesideAReleaseWithoutAnswers) {
  begin_with_machines(kMachines + 1);
  run(Duration{1'000});
  submit(wide_gang("req-1", kMostTasks));
  for (std::uint32_t n = 0; n < kMostTasks / kSliceTasks; ++n) {
    store_.key_scripts[keys::slice(JobId("req-1"), n)].assign(1'000, testing::Script::refuse);
  }
  run_and_forget_commits(Duration{500});
  submit(testing::gang("req-2", 1, 1, 60));
  run_and_forget_commits(Duration{500});
  EXPECT_EQ(placed_by_attempt("req-2"), (std::map<Attempt, std::size_t>{{Attempt(1), 1}}));
}

// A cancellation must not leave steps behind that are sent later.
TEST_F(WideJobMemoryTest, ACancellationEndsAReleaseThatWaitsForAnswers) {
  begin_with_machines();
  const JobSpec job = wide_gang("req-1", kMostTasks);
  release_without_answers(job);
  ASSERT_EQ(leader_loop_.held().releasing_tasks, kMostTasks);
  store_.put(keys::job(job.job_id), encode(JobRecord{job, time_.wall(), time_.wall()}));
  answer_again();
  run_and_forget_commits(Duration{1'000});
  EXPECT_EQ(leader_loop_.held().releasing_tasks, 0U);
  const auto placed = placed_by_attempt("req-1");
  EXPECT_LT(placed.empty() ? 0 : placed.begin()->second, kMostTasks / 10);
}

// A heartbeat names all tasks of its machine, so a machine with more tasks could not report at all.
TEST_F(WideJobMemoryTest, AMachineGetsOnlyAsManyTasksAsItsHeartbeatNames) {
  begin_with_machines(2);
  submit(tiny_tasks(testing::batch("req-1", kMostTasks, 0, 30)));
  submit(tiny_tasks(testing::service_job("req-2", kMostTasks, 0)));
  run_and_forget_commits(Duration{1'000});
  const std::string longest_entry =
      R"({"part":"req-0123456789abcdef0123456789abcdef/99999","try":4294967295,"status":"ended",)"
      R"("cause":"unknown","saved":true},)";
  for (const auto& [machine_id, placed] : cache_.records().placed) {
    EXPECT_GT(placed.size(), 0U);
    // As many tasks again may have ended without having been cleared.
    EXPECT_LT(placed.size() * 2 * longest_entry.size(), kMaxRequestBytes) << machine_id.get();
  }
  EXPECT_EQ(cache_.records().placed.size(), 2U);
}

TEST_F(WideJobMemoryTest, SeveralWideJobsAtOnceFitTheSmallestController) {
  begin_with_machines();
  const HeapPeak peak;
  submit(wide_gang("req-1", kMostTasks));
  submit(wide_gang("req-2", kMostTasks));
  submit(tiny_tasks(testing::batch("req-3", kMostTasks, 0, 30)));
  submit(tiny_tasks(testing::service_job("req-4", 1'000, 0)));
  run_and_forget_commits(Duration{1'000});
  EXPECT_LT(peak.bytes(), kControllerBytes);
}

// A gang that can't run at one time is not begun, neither by this leader nor by the next one.
TEST_F(WideJobMemoryTest, AGangThatDoesNotFitIsNotBegun) {
  begin_with_machines(12);
  const HeapPeak peak;
  submit(wide_gang("req-1", kMostTasks));
  submit(testing::gang("req-2", 1, 1, 60));
  run_and_forget_commits(Duration{1'000});
  put_leader("other", 9);
  run(Duration{100});
  put_leader("me", 7);
  run_and_forget_commits(Duration{1'000});
  EXPECT_TRUE(placed_by_attempt("req-1").empty());
  EXPECT_EQ(placed_by_attempt("req-2"), (std::map<Attempt, std::size_t>{{Attempt(1), 1}}));
  EXPECT_LT(peak.bytes(), kControllerBytes);
}

// The records of arrays that are almost done: every controller holds them, also after a reload.
TEST(WideJobRecords, SeveralWideArraysFitTheWatchCache) {
  testing::FakeTime time;
  Loop loop(&time);
  testing::ScriptedStore store;
  store.page_size = 64;  // a page holds 512 KiB
  for (const char* job : {"req-1", "req-2", "req-3"}) {
    const JobSpec spec = tiny_tasks(testing::batch(job, kMostTasks, 0, 30));
    testing::put_job(store, spec, time.wall());
    for (std::uint32_t n = 0; n < slice_count(spec); ++n) {
      SliceRecord slice;
      slice.job_id = spec.job_id;
      slice.number = n;
      slice.tasks.resize(slice_size(spec, n));
      for (TaskRecord& task : slice.tasks) {
        task.state = TaskState::done;
        task.attempt = Attempt(1);
      }
      store.put(keys::slice(spec.job_id, n), encode(slice));
    }
  }
  const HeapPeak peak;
  WatchCache cache(loop, time, store, 1);
  cache.begin();
  EXPECT_EQ(cache.records().slices.size(), 3 * 1'563U);
  EXPECT_LT(peak.bytes(), kControllerBytes);
}

}  // namespace
}  // namespace marblevale
