// The leader's rounds: releases, quota, preemption, zones and guarantees.
#include "support/leader_loop_fixture.hpp"

namespace marblevale {
namespace {

using testing::LeaderLoopTest;
using testing::Script;

TEST_F(LeaderLoopTest, ReleasesUnderItsTerm) {
  machine("vm-1");
  begin();
  submit(testing::gang("req-1", 1, 1, 60));
  run(Duration{200});
  ASSERT_EQ(tasks("req-1").size(), 1U);
  EXPECT_EQ(tasks("req-1")[0].state, TaskState::released);
  EXPECT_EQ(tasks("req-1")[0].attempt, Attempt(1));
  for (const Transaction& txn : store_.commits) {
    if (txn.puts.empty() || txn.puts[0].key != keys::slice(JobId("req-1"), 0)) continue;
    EXPECT_EQ(txn.guards[0].key, keys::kLeader);
  }
}

TEST_F(LeaderLoopTest, QuotaCountsReleasesOfAnEarlierLeader) {
  machine("vm-1");
  submit(testing::gang("req-old", 1, 2, 600));
  set_task("req-old", bound("vm-1"));
  begin();
  submit(testing::gang("req-new", 1, 1, 60));
  run(Duration{1000});
  EXPECT_TRUE(tasks("req-new").empty()) << "the team's two GPUs are taken";
}

TEST_F(LeaderLoopTest, AReleaseOfUnknownOutcomeCountsUntilResolved) {
  machine("vm-1");
  begin();
  submit(testing::gang("req-1", 1, 2, 60));
  store_.scripts = {Script::delay};
  run(Duration{60});
  ASSERT_EQ(store_.delayed.size(), 1U);
  submit(testing::gang("req-2", 1, 1, 30));
  run(Duration{200});
  // The delayed commit may still be applied, so no second release may use the same quota.
  store_.apply_delayed();
  run(Duration{2000});
  EXPECT_EQ(tasks("req-1").at(0).state, TaskState::released);
  EXPECT_TRUE(tasks("req-2").empty());
}

// Guards against a leader that releases the same task every 20 ms while the state service refuses
// its commits.
TEST_F(LeaderLoopTest, ARefusedReleaseIsRetriedWithBackoff) {
  machine("vm-1");
  begin();
  submit(testing::gang("req-1", 1, 1, 60));
  store_.scripts.assign(100, Script::refuse);
  const auto before = store_.commits.size();
  run(Duration{1000});
  EXPECT_LE(store_.commits.size() - before, 10U);
  store_.scripts.clear();
  run(Duration{1000});
  EXPECT_EQ(tasks("req-1").at(0).state, TaskState::released);
}

TEST_F(LeaderLoopTest, AnArrayStartsInAllSlicesAtOnce) {
  set_limit(400);
  for (int i = 0; i < 30; ++i) machine("vm-" + std::to_string(100 + i));
  begin();
  submit(testing::batch("req-1", 200, 1, 60));
  run(Duration{1000});
  std::size_t released = 0;
  for (const auto& [key, slice] : cache_.records().slices) {
    for (const TaskRecord& t : slice.record.tasks) released += t.placed() ? 1 : 0;
  }
  EXPECT_EQ(released, 200U) << "not one slice after the other";
}

TEST_F(LeaderLoopTest, ANoteIsKeptUntilItIsStored) {
  begin();
  submit(testing::gang("req-1", 1, 1, 60));
  run(Duration{200});
  GuaranteeWriter writer(time_, cache_, election_);
  Reservations no_reservations;
  writer.note(JobId("req-1"), "displaced for req-7 (urgent)");
  store_.scripts = {Script::refuse};
  writer.flush(no_reservations);
  EXPECT_EQ(notes("req-1"), std::vector<std::string>{});
  writer.flush(no_reservations);
  EXPECT_EQ(notes("req-1"), std::vector<std::string>{"displaced for req-7 (urgent)"});
}

TEST_F(LeaderLoopTest, ANewLeaderStoresNotesOfPreemptionsThatItFinds) {
  machine("vm-1");
  submit(testing::gang("req-1", 1, 1, 60));
  TaskRecord task = bound("vm-1");
  task.stop = StopOrder{Duration{5'000}, StopReason("displaced for req-7 (urgent)")};
  set_task("req-1", task);
  begin();
  run(Duration{6'000});
  EXPECT_EQ(notes("req-1"), std::vector<std::string>{"displaced for req-7 (urgent)"});
}

TEST_F(LeaderLoopTest, PreemptsForAllUrgentJobsAtOnce) {
  set_limit(100);
  for (const std::string n : {"1", "2"}) {
    machine("vm-" + n);
    JobSpec low = testing::batch("req-" + n, 1, 8, 600);
    low.urgency = Urgency::low;
    submit(low);
    TaskRecord task = bound("vm-" + n);
    task.running_since = time_.wall();
    set_task("req-" + n, task);
  }
  begin();
  for (const std::string n : {"7", "8"}) {
    JobSpec urgent = testing::gang("req-" + n, 1, 8, 60);
    urgent.urgency = Urgency::urgent;
    submit(urgent);
  }
  run(Duration{1'500});
  EXPECT_TRUE(tasks("req-1").at(0).stop);
  EXPECT_TRUE(tasks("req-2").at(0).stop) << "what is vacated for one job is not the other's";
}

TEST_F(LeaderLoopTest, JobOrderDoesNotDependOnTheOrderInWhichZonesRecover) {
  settings_.zones = {ZoneId("a"), ZoneId("b")};
  set_limit(100);
  MachineType type;
  type.name = "g8";
  type.resources = {96, 8, 768};
  type.zones = settings_.zones;
  store_.put(keys::kTypes, encode(std::vector<MachineType>{type}));
  for (const std::string zone : {"a", "b"}) {
    machine("vm-" + zone, zone);
    store_.put(keys::shard(ZoneId(zone)),
               encode(ShardRecord{ZoneId(zone), NodeId("me"), ProcessIncarnation(7), 1}));
  }
  begin();
  leader_loop_.note_unreachable_zones(NodeId("me"), {ZoneId("a"), ZoneId("b")});
  submit(testing::gang("req-1", 1, 8, 60));
  run(Duration{100});
  submit(testing::gang("req-2", 1, 8, 60));  // same length, accepted later
  run(Duration{500});
  leader_loop_.note_unreachable_zones(NodeId("me"), {ZoneId("a")});
  run(Duration{1'000});
  ASSERT_EQ(tasks("req-1").size(), 1U) << "whichever zone is back first, its room is the older's";
  EXPECT_EQ(tasks("req-1")[0].zone, ZoneId("b"));
  EXPECT_TRUE(tasks("req-2").empty());
  leader_loop_.note_unreachable_zones(NodeId("me"), {});
  run(Duration{1'000});
  ASSERT_EQ(tasks("req-2").size(), 1U);
  EXPECT_EQ(tasks("req-2")[0].zone, ZoneId("a"));
}

TEST_F(LeaderLoopTest, NothingIsReleasedToAZoneUnreachableForItsHolder) {
  machine("vm-1");
  put_shard("a", "me", 7);
  begin();
  leader_loop_.note_unreachable_zones(NodeId("me"), {ZoneId("a")});
  submit(testing::gang("req-1", 1, 1, 60));
  run(Duration{1000});
  EXPECT_TRUE(tasks("req-1").empty());
  leader_loop_.note_unreachable_zones(NodeId("other"),
                                      {ZoneId("a")});  // not the holder, so its report is ignored
  leader_loop_.note_unreachable_zones(NodeId("me"), {});
  run(Duration{1000});
  ASSERT_EQ(tasks("req-1").size(), 1U);
  EXPECT_EQ(tasks("req-1")[0].state, TaskState::released);
}

TEST_F(LeaderLoopTest, ALongArrayCreatesOnlyTheSlicesThatItCanUse) {
  machine("vm-1");
  begin();
  submit(testing::batch("req-1", 100'000, 1, 60));
  const auto before = store_.commits.size();
  run(Duration{3000});
  EXPECT_EQ(cache_.records().slices.size(), 1U);
  EXPECT_LE(store_.commits.size() - before, 20U);
  std::size_t released = 0;
  for (const TaskRecord& t : tasks("req-1")) released += t.state == TaskState::released ? 1 : 0;
  EXPECT_EQ(released, 2U) << "as many as the team's limit allows";
}

TEST_F(LeaderLoopTest, AGangRestartsOnlyAfterAllItsTasksHaveTerminated) {
  settings_.teams[0].max_gpus = 8;
  machine("vm-1");
  machine("vm-2");
  JobSpec spec = testing::gang("req-1", 2, 1, 60);
  submit(spec);
  SliceRecord slice = testing::slice_record(spec.job_id, {bound("vm-1"), bound("vm-2")});
  slice.tasks[0].state = TaskState::idle;
  put_slice(store_, slice);
  begin();
  run(Duration{3000});
  EXPECT_EQ(tasks("req-1").at(0).state, TaskState::idle);
  slice.tasks[1].state = TaskState::idle;
  store_.put(keys::slice(spec.job_id, 0), encode(slice));
  run(Duration{1000});
  EXPECT_EQ(tasks("req-1").at(0).state, TaskState::released);
  EXPECT_EQ(tasks("req-1").at(0).attempt, Attempt(2));
  EXPECT_EQ(tasks("req-1").at(1).attempt, Attempt(2));
}

TEST_F(LeaderLoopTest, StoredGuaranteesSurviveAFailover) {
  machine("vm-1");
  submit(testing::gang("req-old", 1, 2, 600));
  TaskRecord running = bound("vm-1");
  running.running_since = time_.wall();
  set_task("req-old", running);
  submit(testing::gang("req-1", 1, 1, 60));
  GuaranteeRecord guarantee_record;
  guarantee_record.job_id = JobId("req-1");
  const WallTime guaranteed_start = time_.wall() + Duration{700'000};
  guarantee_record.guarantees = {
      {0, guaranteed_start, guaranteed_start, guaranteed_start + Duration{60'000}}};
  store_.put(keys::guarantee_record(guarantee_record.job_id),
             encode(guarantee_record, testing::kValueBytes));
  begin();
  run(Duration{1000});
  const auto& stored_guarantee =
      cache_.records().guarantee_records.at(JobId("req-1")).record.guarantees.at(0);
  EXPECT_EQ(stored_guarantee.initial_start, guaranteed_start);
  EXPECT_LE(stored_guarantee.start, guaranteed_start);
}

}  // namespace
}  // namespace marblevale
