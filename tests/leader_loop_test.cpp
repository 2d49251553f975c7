// The leader: election, granting and quota with a scripted state service and a fake clock.
#include "support/leader_loop_fixture.hpp"

namespace marblevale {
namespace {

using testing::LeaderLoopTest;
using testing::ScriptedStore;
using Script = ScriptedStore::Script;

TEST_F(LeaderLoopTest, ReleasesAndGrantsUnderItsTerm) {
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

TEST_F(LeaderLoopTest, AnEarlierLifesLeadershipIsTakenOverAtOnce) {
  store_.put(keys::kLeader, encode(LeaderRecord{NodeId("me"), ProcessIncarnation(3)}));
  begin();
  EXPECT_TRUE(election_.is_established_leader());
}

TEST_F(LeaderLoopTest, AnotherLeaderIsRespectedUntilItsRecordIsGone) {
  store_.put(keys::kLeader, encode(LeaderRecord{NodeId("other"), ProcessIncarnation(3)}));
  begin();
  run(Duration{3000});
  EXPECT_FALSE(election_.is_established_leader());
  Transaction txn;
  txn.remove(keys::kLeader);
  store_.commit(RequestPriority::lease, txn, [](const CommitResult&) {});
  run(Duration{500});
  EXPECT_TRUE(election_.is_established_leader());
}

TEST_F(LeaderLoopTest, TheOnlyControllerOfAZoneLetsThoseElsewhereStandFirst) {
  settings_.peers = {{NodeId("n1"), ZoneId("b"), {}}, {NodeId("n2"), ZoneId("b"), {}}};
  begin();
  run(Duration{200});
  EXPECT_FALSE(election_.is_established_leader());
  run(Duration{1000});
  EXPECT_TRUE(election_.is_established_leader()) << "nobody else did";
}

TEST_F(LeaderLoopTest, ALostSessionEndsLeadership) {
  begin();
  ASSERT_TRUE(election_.is_established_leader());
  store_.expire_lease(LeaseId(1));
  run(Duration{1500});
  EXPECT_NE(election_.term(), ModRevision{});  // a new epoch, and the record is still its own
  store_.put(keys::kLeader, encode(LeaderRecord{NodeId("other"), ProcessIncarnation(3)}));
  run(Duration{500});
  EXPECT_FALSE(election_.is_established_leader());
}

TEST_F(LeaderLoopTest, QuotaCountsWhatAnEarlierLeaderReleased) {
  machine("vm-1");
  submit(testing::gang("req-old", 1, 2, 600));
  set_task("req-old", bound("vm-1"));
  begin();
  submit(testing::gang("req-new", 1, 1, 60));
  run(Duration{1000});
  EXPECT_TRUE(tasks("req-new").empty()) << "the team's two GPUs are taken";
}

TEST_F(LeaderLoopTest, AnUnknownReleaseCountsUntilItIsSettled) {
  machine("vm-1");
  begin();
  submit(testing::gang("req-1", 1, 2, 60));
  store_.scripts = {Script::delay};
  run(Duration{60});
  ASSERT_EQ(store_.delayed.size(), 1U);
  submit(testing::gang("req-2", 1, 1, 30));
  run(Duration{200});
  // The late one may still come: no second release may use the same quota.
  store_.apply_delayed();
  run(Duration{2000});
  EXPECT_EQ(tasks("req-1").at(0).state, TaskState::released);
  EXPECT_TRUE(tasks("req-2").empty());
}

// Found by an incident: a leader that the state service refused released the same task every 20 ms.
TEST_F(LeaderLoopTest, ARefusedReleaseIsNotTriedAgainAtOnce) {
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

TEST_F(LeaderLoopTest, AnArrayBeginsBroadlyWhereRoomIs) {
  settings_.teams[0].gpus = settings_.teams[0].gpus_max = 400;
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

TEST_F(LeaderLoopTest, AReasonIsKeptUntilItIsRecorded) {
  begin();
  submit(testing::gang("req-1", 1, 1, 60));
  run(Duration{200});
  GuaranteeWriter writer(time_, cache_, election_);
  Reservations none;
  writer.note(JobId("req-1"), "displaced for req-7 (urgent)");
  store_.scripts = {Script::refuse};
  writer.flush(none);
  EXPECT_EQ(notes("req-1"), std::vector<std::string>{});
  writer.flush(none);
  EXPECT_EQ(notes("req-1"), std::vector<std::string>{"displaced for req-7 (urgent)"});
}

TEST_F(LeaderLoopTest, ANewLeaderRecordsTheReasonsThatTheLastOneHadNotWritten) {
  machine("vm-1");
  submit(testing::gang("req-1", 1, 1, 60));
  TaskRecord task = bound("vm-1");
  task.stop = StopOrder{Duration{5'000}, "displaced for req-7 (urgent)"};
  set_task("req-1", task);
  begin();
  run(Duration{6'000});
  EXPECT_EQ(notes("req-1"), std::vector<std::string>{"displaced for req-7 (urgent)"});
}

TEST_F(LeaderLoopTest, RoomIsMadeForEachUrgentJobAndNotForOneAfterTheOther) {
  settings_.teams[0].gpus = settings_.teams[0].gpus_max = 100;
  for (const std::string n : {"1", "2"}) {
    machine("vm-" + n);
    JobSpec low = testing::batch("req-" + n, 1, 8, 600);
    low.urgency = Urgency::low;
    submit(low);
    TaskRecord task = bound("vm-" + n);
    task.running = time_.wall();
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

TEST_F(LeaderLoopTest, TheOrderInWhichZonesComeBackDoesNotDecideWhoseJobGoesFirst) {
  settings_.zones = {ZoneId("a"), ZoneId("b")};
  settings_.teams[0].gpus = settings_.teams[0].gpus_max = 100;
  MachineType type;
  type.name = "g8";
  type.resources = {96, 8, 768};
  type.zones = settings_.zones;
  store_.put(keys::kTypes, encode(std::vector<MachineType>{type}));
  for (const std::string zone : {"a", "b"}) {
    MachineRecord m;
    m.machine_id = MachineId("vm-" + zone);
    m.machine_type = "g8";
    m.zone = ZoneId(zone);
    m.since = time_.wall();
    store_.put_machine(m);
    store_.put(keys::shard(ZoneId(zone)),
               encode(ShardRecord{ZoneId(zone), NodeId("me"), ProcessIncarnation(7), 1}));
  }
  begin();
  leader_loop_.note_unreachable_zones(NodeId("me"), {ZoneId("a"), ZoneId("b")});
  submit(testing::gang("req-1", 1, 8, 60));
  run(Duration{100});
  submit(testing::gang("req-2", 1, 8, 60));  // as long, accepted later
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

TEST_F(LeaderLoopTest, ManyThatFallSilentTogetherAreWaitedForLonger) {
  const auto silent = [&](const std::string& machine_id) {
    MachineRecord m;
    m.machine_id = MachineId(machine_id);
    m.machine_type = "g8";
    m.zone = ZoneId("a");
    m.state = MachineState::silent;
    m.since = time_.wall();
    store_.put_machine(m);
  };
  for (int i = 0; i < 12; ++i) silent("vm-" + std::to_string(100 + i));
  begin();
  run(Duration{24'000});
  EXPECT_TRUE(cloud_.removed.empty()) << "they may be back";
  run(Duration{8'000});
  EXPECT_EQ(cloud_.removed.size(), 12U);
}

TEST_F(LeaderLoopTest, OnlyAListThatMustBeNewerShowsThatAMachineIsGone) {
  settings_.list_lag = Duration{4'000};
  machine("vm-1");
  cloud_.listing.emplace();
  cloud_.listing->machines.push_back({MachineId("vm-1"), "", "g8", ZoneId("a"), false,
                                      ProvisioningStatus::running, Duration{60'000}});
  begin();
  run(Duration{3'000});
  cloud_.listing->machines.clear();
  run(Duration{7'000});
  EXPECT_TRUE(cloud_.removed.empty()) << "the list may be older than the one that had it";
  run(Duration{5'000});
  EXPECT_EQ(cloud_.removed, std::vector<MachineId>{MachineId("vm-1")});
}

TEST_F(LeaderLoopTest, NothingIsReleasedToAZoneThatItsHolderDoesNotReach) {
  machine("vm-1");
  store_.put(keys::shard(ZoneId("a")),
             encode(ShardRecord{ZoneId("a"), NodeId("me"), ProcessIncarnation(7), 1}));
  begin();
  leader_loop_.note_unreachable_zones(NodeId("me"), {ZoneId("a")});
  submit(testing::gang("req-1", 1, 1, 60));
  run(Duration{1000});
  EXPECT_TRUE(tasks("req-1").empty());
  leader_loop_.note_unreachable_zones(NodeId("other"),
                                      {ZoneId("a")});  // not the holder: its word is nothing
  leader_loop_.note_unreachable_zones(NodeId("me"), {});
  run(Duration{1000});
  ASSERT_EQ(tasks("req-1").size(), 1U);
  EXPECT_EQ(tasks("req-1")[0].state, TaskState::released);
}

TEST_F(LeaderLoopTest, ALongArrayCostsNoMoreSlicesThanItCanUse) {
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

TEST_F(LeaderLoopTest, AGangRestartsOnlyAfterProofOfAllItsTasks) {
  settings_.teams[0].gpus_max = 8;
  machine("vm-1");
  machine("vm-2");
  JobSpec spec = testing::gang("req-1", 2, 1, 60);
  submit(spec);
  SliceRecord slice;
  slice.job_id = spec.job_id;
  slice.tasks = {bound("vm-1"), bound("vm-2")};
  slice.tasks[0].state = TaskState::idle;
  store_.put(keys::slice(spec.job_id, 0), encode(slice));
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

TEST_F(LeaderLoopTest, ACancelledTaskThatDoesNotEndCostsItsMachine) {
  machine("vm-1");
  JobSpec spec = testing::gang("req-1", 1, 1, 60);
  submit(spec);
  set_task("req-1", bound("vm-1"));
  begin();
  JobRecord job{spec, time_.wall(), time_.wall()};
  store_.put(keys::job(spec.job_id), encode(job));
  run(Duration{10'000});
  EXPECT_TRUE(cloud_.removed.empty());
  run(Duration{15'000});
  ASSERT_EQ(cloud_.removed.size(), 1U);
  EXPECT_EQ(cache_.records().machines.at(MachineId("vm-1")).record.state, MachineState::gone);
}

TEST_F(LeaderLoopTest, AnUnansweredDeletionProvesNothing) {
  machine("vm-1");
  cloud_.removes = false;
  begin();
  run(Duration{100});
  autoscaler_.request_deletion(MachineId("vm-1"), DeletionReason::idle);
  run(Duration{3000});
  EXPECT_EQ(cache_.records().machines.at(MachineId("vm-1")).record.state, MachineState::deleting);
  cloud_.removes = true;
  run(Duration{3000});
  EXPECT_EQ(cache_.records().machines.at(MachineId("vm-1")).record.state, MachineState::gone);
}

// Found by a rough day: the task failed twice on the same sick machine, which was then absolved.
TEST_F(LeaderLoopTest, AMachineIsAbsolvedOnlyByAFailureElsewhere) {
  MachineRecord m;
  m.machine_id = MachineId("vm-1");
  m.machine_type = "g8";
  m.zone = ZoneId("a");
  m.state = MachineState::suspect;
  m.blamed = JobId("req-1");
  m.since = time_.wall();
  store_.put_machine(m);
  submit(testing::gang("req-1", 1, 1, 60));
  TaskRecord failed;
  failed.attempt = Attempt(2);
  failed.faults = 2;
  failed.failed_on = MachineId("vm-1");
  set_task("req-1", failed);
  begin();
  run(Duration{5000});
  EXPECT_EQ(cache_.records().machines.at(m.machine_id).record.state, MachineState::suspect);
  failed.failed_on = MachineId("vm-2");
  set_task("req-1", failed);
  run(Duration{2000});
  EXPECT_EQ(cache_.records().machines.at(m.machine_id).record.state, MachineState::up);
}

TEST_F(LeaderLoopTest, AMachineIsCondemnedWhenItsTaskRunsElsewhere) {
  MachineRecord m;
  m.machine_id = MachineId("vm-1");
  m.machine_type = "g8";
  m.zone = ZoneId("a");
  m.state = MachineState::suspect;
  m.blamed = JobId("req-1");
  m.since = time_.wall();
  store_.put_machine(m);
  machine("vm-2");
  submit(testing::gang("req-1", 1, 1, 60));
  TaskRecord task = bound("vm-2");
  task.faults = 1;
  task.failed_on = MachineId("vm-1");
  task.running = time_.wall() + Duration{500};
  set_task("req-1", task);
  begin();
  run(Duration{10'000});
  ASSERT_EQ(cloud_.removed.size(), 1U);
  EXPECT_EQ(cloud_.removed[0], MachineId("vm-1"));
}

TEST_F(LeaderLoopTest, RentsUnderNamesThatAreNeverUsedTwice) {
  begin();
  submit(testing::gang("req-1", 1, 1, 60));
  run(Duration{60'000});
  ASSERT_GE(cloud_.provisioning_requests.size(),
            2U);  // refused for want of capacity, asked again under a new name
  const std::set<std::string> names(cloud_.provisioning_requests.begin(),
                                    cloud_.provisioning_requests.end());
  EXPECT_EQ(names.size(), cloud_.provisioning_requests.size());
}

TEST_F(LeaderLoopTest, StoredGuaranteesSurviveAChangeOfLeader) {
  machine("vm-1");
  submit(testing::gang("req-old", 1, 2, 600));
  TaskRecord running = bound("vm-1");
  running.running = time_.wall();
  set_task("req-old", running);
  submit(testing::gang("req-1", 1, 1, 60));
  GuaranteeRecord guarantee_record;
  guarantee_record.job_id = JobId("req-1");
  const WallTime promised = time_.wall() + Duration{700'000};
  guarantee_record.guarantees = {{0, promised, promised, promised + Duration{60'000}}};
  store_.put(keys::guarantee_record(guarantee_record.job_id),
             encode(guarantee_record, testing::kValueBytes));
  begin();
  run(Duration{1000});
  const auto& kept = cache_.records().guarantee_records.at(JobId("req-1")).record.guarantees.at(0);
  EXPECT_EQ(kept.first, promised);
  EXPECT_LE(kept.start, promised);
}

// A task on a machine that no record knows could be proven gone by nobody, and its job would wait
// for ever: the cloud's answer to the deletion is the proof.
TEST_F(LeaderLoopTest, ATaskOnAMachineThatNoRecordKnowsIsFreedByDeletingIt) {
  submit(testing::gang("req-1", 1, 1, 60));
  set_task("req-1", bound("vm-lost"));
  begin();
  run(Duration{10'000});
  EXPECT_TRUE(cloud_.removed.empty());
  run(Duration{20'000});
  ASSERT_FALSE(cloud_.removed.empty());
  EXPECT_EQ(cloud_.removed[0], MachineId("vm-lost"));
  EXPECT_EQ(cache_.records().machines.at(MachineId("vm-lost")).record.state, MachineState::gone);
}

// A process that is back within a fraction of a second, in the middle of an election, with commits
// of its earlier life still on their way.
TEST_F(LeaderLoopTest, ALateCommitOfItsEarlierLifeDoesNotUnseatAController) {
  Transaction stand;
  stand.guard(keys::kLeader, ModRevision{});
  stand.put(keys::kLeader, encode(LeaderRecord{NodeId("me"), ProcessIncarnation(3)}));
  store_.scripts = {Script::delay};
  store_.commit(RequestPriority::lease, stand, [](const CommitResult&) {});
  ASSERT_EQ(store_.delayed.size(), 1U);
  begin();
  run(Duration{500});
  ASSERT_TRUE(election_.is_established_leader());
  const ModRevision term = election_.term();
  EXPECT_EQ(store_.apply_delayed().outcome, Outcome::conflict);
  run(Duration{1000});
  EXPECT_EQ(election_.term(), term);
}

TEST_F(LeaderLoopTest, AnEarlierLifeThatIsElectedLateIsFollowedByItsSuccessor) {
  // The earlier life's commit arrives first, while this one stands.
  store_.scripts = {Script::refuse, Script::refuse, Script::refuse};
  begin();
  store_.put(keys::kLeader, encode(LeaderRecord{NodeId("me"), ProcessIncarnation(3)}));
  store_.put(keys::node(NodeId("me")),
             encode(NodeRecord{NodeId("me"), ProcessIncarnation(3), LeaseId(1)}));
  run(Duration{3000});
  EXPECT_TRUE(election_.is_established_leader());
  LeaderRecord leader = cache_.records().leader->record;
  EXPECT_EQ(leader.incarnation, ProcessIncarnation(7));
  EXPECT_TRUE(cache_.records().alive(NodeId("me"), ProcessIncarnation(7)));
}

}  // namespace
}  // namespace marblevale
