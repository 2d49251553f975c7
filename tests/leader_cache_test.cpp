// A leader whose watch cache lags behind or receives answers out of order.
#include "support/leader_loop_fixture.hpp"

namespace marblevale {
namespace {

using testing::Script;

class LeaderCacheTest : public testing::LeaderLoopTest {
 protected:
  /// A cancelled job has a slice whose stored value is `second_slice`, and ends only once this
  /// slice can be read.
  void expect_cancelled_job_not_ended_beside(const std::string& second_slice) {
    begin();
    const JobSpec spec = testing::batch("req-1", 2 * kSliceTasks, 1, 60);
    SliceRecord slice;
    slice.job_id = spec.job_id;
    slice.tasks.resize(kSliceTasks);
    testing::put_slice(store_, slice);
    store_.put(keys::slice(spec.job_id, 1), second_slice);
    testing::put_job(store_, spec, time_.wall(), time_.wall());
    run(Duration{1'000});
    EXPECT_TRUE(store_.get(keys::job(spec.job_id)));
    slice.number = 1;
    testing::put_slice(store_, slice);
    run(Duration{1'000});
    EXPECT_TRUE(store_.get(keys::final_job(spec.job_id)));
  }
};

// Guards against a deleted record that stays in the cache. The slow answer to this controller's own
// commit arrives after the watch has delivered the deletion, and must not restore the record. A job
// that had ended waited in the cache beside free machines because of this fault.
TEST_F(LeaderCacheTest, ADelayedCommitAnswerDoesNotRestoreADeletedRecord) {
  begin();
  const JobSpec spec = testing::gang("req-1", 1, 1, 60);
  store_.hold_answers = true;
  Transaction txn;
  txn.guard(keys::job(spec.job_id), ModRevision{});
  txn.put(keys::job(spec.job_id), encode(JobRecord{spec, time_.wall(), std::nullopt}));
  cache_.commit(RequestPriority::submission, txn, [](const CommitResult&) {});
  store_.hold_answers = false;
  store_.remove(keys::job(spec.job_id));
  run(Duration{50});
  store_.deliver_held_answers();
  EXPECT_FALSE(cache_.records().jobs.contains(spec.job_id));
}

TEST_F(LeaderCacheTest, DelayedMachineTypesDoNotReplaceNewerOnes) {
  begin();
  std::vector<MachineType> types = cache_.records().types->record;
  types[0].price = 2;
  cloud_.machine_types = types;
  store_.scripts = {Script::delay};
  run(Duration{1'500});
  ASSERT_EQ(store_.delayed.size(), 1U);
  types[0].price = 3;
  cloud_.machine_types = types;
  run(Duration{62'000});
  ASSERT_EQ(cache_.records().types->record[0].price, 3);
  EXPECT_EQ(store_.apply_delayed().outcome, Outcome::conflict);
}

TEST_F(LeaderCacheTest, RecordsOfAJobMissingFromTheCacheAreNotCleanedUp) {
  begin();
  run(Duration{1'000});
  // The cache contains the slice but not its job, as during a page-by-page reload.
  submit(testing::gang("req-1", 1, 1, 60));
  set_task("req-1", bound("vm-1"));
  const auto slice = store_.get(keys::slice(JobId("req-1"), 0));
  cache_.apply({slice->key, slice->value, slice->mod_revision});
  time_.advance(Duration{1'000});
  EXPECT_TRUE(store_.get(slice->key));
  run(Duration{1'000});
  EXPECT_EQ(tasks("req-1").at(0).state, TaskState::bound);
}

TEST_F(LeaderCacheTest, AProfileThatDisagreesWithTheRecordsIsRebuilt) {
  machine("vm-1");
  submit(testing::gang("req-1", 1, 2, 6'000));
  TaskRecord task = bound("vm-1");
  task.running_since = time_.wall();
  set_task("req-1", task);
  begin();
  submit(testing::gang("req-2", 1, 2, 60));
  run(Duration{1'000});
  set_limit(4);  // seen by the records only; the profile was built with the earlier limit
  run(Duration{20'000});
  EXPECT_TRUE(tasks("req-2").empty());
  run(Duration{60'000});
  ASSERT_EQ(tasks("req-2").size(), 1U);
  EXPECT_EQ(tasks("req-2")[0].state, TaskState::released);
}

// The cache shows the leader's own commit of a cancellation before the watch delivers a binding
// that was committed earlier. Guards against ending the job at this point: its task would never be
// stopped, and would keep running outside its team's quota.
TEST_F(LeaderCacheTest, ACancelledJobIsCompletedOnlyOnceEarlierCommitsAreObserved) {
  machine("vm-1");
  begin();
  run(Duration{100});
  const JobSpec spec = testing::gang("req-1", 1, 1, 60);
  store_.scripts.assign(1, Script::refuse);
  submit(spec);
  run(Duration{30});
  const auto job = store_.get(keys::job(spec.job_id));
  ASSERT_TRUE(cache_.records().jobs.contains(spec.job_id));
  set_task("req-1", bound("vm-1"));
  Transaction cancel;
  cancel.guard(job->key, job->mod_revision);
  cancel.put(job->key, encode(JobRecord{spec, time_.wall(), time_.wall()}));
  cache_.commit(RequestPriority::binding, cancel,
                [](const CommitResult& r) { EXPECT_EQ(r.outcome, Outcome::done); });
  time_.advance(Duration{1'000});
  EXPECT_TRUE(store_.get(job->key))
      << "its task is bound, though the watch has not delivered it yet";
  run(Duration{1'000});
  EXPECT_TRUE(store_.get(job->key));
  set_task("req-1", TaskRecord{});
  run(Duration{1'000});
  EXPECT_TRUE(store_.get(keys::final_job(spec.job_id)));
}

// A slice that this version can't read may have placed tasks, and its job ended beside them.
TEST_F(LeaderCacheTest, ACancelledJobWithAnUnreadableSliceIsNotEnded) {
  expect_cancelled_job_not_ended_beside(R"({"v":99})");
}

// Guards against a slice that is taken for absent because its value is of another type.
TEST_F(LeaderCacheTest, ACancelledJobWithASliceThatIsNoObjectIsNotEnded) {
  expect_cancelled_job_not_ended_beside("[1]");
}

TEST_F(LeaderCacheTest, ZoneConstraintsCountTasksOnMachinesWithoutARecord) {
  use_two_zones();
  set_limit(100);
  machine("vm-1");  // in zone a
  JobSpec together = testing::batch("req-1", 2, 1, 60);
  together.single_zone = true;
  JobSpec spread = testing::batch("req-2", 2, 1, 60);
  spread.spread_zones = true;
  int n = 1;
  for (const std::string zone : {"b", "a"}) {
    SliceRecord slice;
    slice.job_id = JobId("req-" + std::to_string(n++));
    slice.tasks = {bound("vm-lost-" + zone), TaskRecord{}};
    slice.tasks[0].zone = ZoneId(zone);
    store_.put(keys::slice(slice.job_id, 0), encode(slice));
  }
  submit(together);
  submit(spread);
  begin();
  run(Duration{3'000});
  EXPECT_EQ(tasks("req-1").at(1).state, TaskState::idle) << "its other task is in zone b";
  EXPECT_EQ(tasks("req-2").at(1).state, TaskState::idle) << "zone a has its half";
  machine("vm-2", "b");
  run(Duration{3'000});
  EXPECT_EQ(tasks("req-1").at(1).zone, ZoneId("b"));
  EXPECT_EQ(tasks("req-2").at(1).zone, ZoneId("b"));
}

}  // namespace
}  // namespace marblevale
