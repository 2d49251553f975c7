// Machines that hear nothing, copies of reports that come late, controllers that are cut off, and
// releases that are offered straight to a holder.
#include "support/shard_holder_fixture.hpp"

namespace marblevale {
namespace {

using testing::Script;
using testing::ShardHolderTest;

TEST(OrderConnections, FollowTheSocketsThatTheMachineHas) {
  Settings settings;
  EXPECT_EQ(max_order_connections(settings), 128U) << "nothing is said of sockets";
  settings.max_sockets = 5000;
  EXPECT_EQ(max_order_connections(settings), 1250U);
  settings.max_sockets = 10;
  EXPECT_EQ(max_order_connections(settings), 32U);
  settings.max_sockets = 20'000;
  EXPECT_EQ(max_order_connections(settings), 5000U);
  settings.ram_mb = 56;
  EXPECT_EQ(max_order_connections(settings), 896U) << "an idle connection takes memory, too";
}

TEST(WatchCacheLoad, APageThatCannotBeHadIsAskedForAgainByItself) {
  testing::FakeTime time;
  Loop loop(&time);
  testing::ScriptedStore store;
  store.page = 10;
  for (int i = 0; i < 35; ++i) {
    JobRecord job;
    job.spec = testing::gang("req-" + std::to_string(100 + i), 1, 1, 100);
    store.put(keys::job(job.spec.job_id), encode(job));
  }
  WatchCache cache(loop, time, store, 1);
  store.hold_answers = true;
  cache.begin();
  store.hold_answers = false;
  store.failing_ranges = 1;
  store.deliver_held_answers();
  time.advance(Duration{3000});
  EXPECT_TRUE(cache.ready());
  EXPECT_EQ(cache.records().jobs.size(), 35U);
  EXPECT_EQ(store.ranges.size(), 5U) << "four pages, one of them twice";
}

class WorkerPartitionTest : public ShardHolderTest {
 protected:
  [[nodiscard]] MachineState machine_state(const std::string& machine_id = "vm-1") const {
    const auto it = cache_.records().machines.find(MachineId(machine_id));
    return it == cache_.records().machines.end() ? MachineState::gone : it->second.record.state;
  }
  /// Heartbeats as its times have it, each of which is answered.
  void heartbeat_for(Duration duration, std::uint64_t epoch, const std::string& parts = "") {
    for (std::int64_t at = 0; at < duration.count(); at += 3000) {
      handle_heartbeat(epoch, token(), parts);
      run(Duration{3000});
    }
  }
  void answer_direct(int status) {
    auto sent = workers_.sent.back();
    sent.then(HttpReply::answer(
        status, R"({"host":"vm-1","address":"10.1.0.1:9000","build":"g8","district":"a",)"
                R"("loaners":false,"tenure":1,"tally":)" +
                    std::to_string(++sequence_) + R"(,"warrant":)" + std::to_string(token()) +
                    R"(,"recall_s":null,"parts":[]})"));
    run(Duration{50});
  }
};

TEST_F(WorkerPartitionTest, NothingIsBoundToAMachineThatHasNotShownThatItHears) {
  EXPECT_EQ(handle_heartbeat(1, 0).status, 200);
  release();
  run(Duration{500});
  EXPECT_EQ(task().state, TaskState::released);
  ASSERT_FALSE(workers_.sent.empty()) << "it is told who speaks for its block";
  answer_direct(200);
  handle_heartbeat(1, token());
  run(Duration{600});
  EXPECT_EQ(task().state, TaskState::bound);
}

TEST_F(WorkerPartitionTest, APauseOfThisProcessIsNotTheSilenceOfItsMachines) {
  handle_heartbeat(1, token(), "", "vm-1");
  handle_heartbeat(1, token(), "", "vm-2");
  run(Duration{600});
  ASSERT_EQ(machine_state("vm-1"), MachineState::up);
  time_.pause_process(Duration{51'000});
  handle_heartbeat(1, token(), "", "vm-2");  // the first to be heard again
  run(Duration{1'000});
  EXPECT_EQ(machine_state("vm-1"), MachineState::up) << "it has had no time to report";
  for (int i = 0; i < 4; ++i) {
    handle_heartbeat(1, token(), "", "vm-2");
    run(Duration{3'000});
  }
  EXPECT_EQ(machine_state("vm-1"), MachineState::silent);
}

// Found by inc-0452: a holder that alone had lost its workers kept its shard for 17 s of a lease of
// 24 s, since only the third visit of its workers was taken for a complaint.
TEST_F(WorkerPartitionTest, WorkersThatTheirHolderDoesNotAnswerComplainByTheirSecondVisit) {
  give_shard("other", 9);
  for (const char* machine_id : {"vm-1", "vm-2"}) handle_heartbeat(1, 0, "", machine_id);
  run(Duration{5'000});  // sent on to their holder: 4 s without an answer, then 1 s more
  for (const char* machine_id : {"vm-1", "vm-2"}) handle_heartbeat(1, 0, "", machine_id);
  EXPECT_EQ(holder_.misrouted_zones(), std::vector<ZoneId>{ZoneId("a")});
}

TEST_F(WorkerPartitionTest, WorkersOfAHolderThatEndedDoNotComplainBeforeItIsReplaced) {
  give_shard("other", 9);
  // Its connections are refused: they turn to the next controller a second later. Its epoch ends
  // after 4 s at the latest.
  for (int visit = 0; visit < 5; ++visit) {
    for (const char* machine_id : {"vm-1", "vm-2"}) handle_heartbeat(1, 0, "", machine_id);
    EXPECT_TRUE(holder_.misrouted_zones().empty()) << visit;
    run(Duration{1'100});
  }
}

TEST_F(WorkerPartitionTest, AHolderThatStoodStillStartsNothingBeforeItHasReadTheRecordsAgain) {
  bind_and_start();
  workers_.sent.clear();
  watch_answers_ = false;
  time_.pause_process(Duration{3'000});
  const HeartbeatReply soon = handle_heartbeat(1, token());
  EXPECT_EQ(soon.status, 200) << "no cancellation can be overdue yet";
  EXPECT_EQ(soon.body.find("start"), std::string::npos);
  run(Duration{1'000});
  EXPECT_FALSE(sent("start"));
  watch_answers_ = true;
  run(Duration{50});
  EXPECT_NE(handle_heartbeat(1, token()).body.find("start"), std::string::npos);
}

TEST_F(WorkerPartitionTest, AHolderThatStoodStillForLongAnswersNoHeartbeatBeforeItHasReadAgain) {
  bind_and_start();
  workers_.sent.clear();
  time_.pause_process(Duration{30'000});
  watch_answers_ = false;
  EXPECT_NE(handle_heartbeat(1, token(), task_status("running")).status, 200);
  run(Duration{1'000});
  EXPECT_TRUE(workers_.sent.empty());
  watch_answers_ = true;
  run(Duration{50});
  EXPECT_EQ(handle_heartbeat(1, token(), task_status("running")).status, 200);
}

TEST_F(WorkerPartitionTest, AHolderThatWasCutOffDoesNotCallItsMachinesSilentWhenItIsBack) {
  handle_heartbeat(1, token(), "", "vm-1");
  handle_heartbeat(1, token(), "", "vm-2");
  run(Duration{600});
  ASSERT_EQ(machine_state("vm-1"), MachineState::up);
  // Cut off from the state service; its workers have gone to the shard's new holder, but for one.
  watch_answers_ = false;
  for (int i = 0; i < 10; ++i) {
    handle_heartbeat(1, token(), "", "vm-2");
    store_.scripts.assign(20, Script::refuse);
    run(Duration{3000});
  }
  store_.put(keys::shard(ZoneId("a")),
             encode(ShardRecord{ZoneId("a"), NodeId("other"), ProcessIncarnation(9), 2}));
  store_.put(keys::shard(ZoneId("a")),
             encode(ShardRecord{ZoneId("a"), NodeId("me"), ProcessIncarnation(7), 3}));
  store_.scripts.clear();
  watch_answers_ = true;
  run(Duration{2000});
  EXPECT_EQ(machine_state("vm-1"), MachineState::up) << "it may have reported elsewhere";
}

TEST_F(WorkerPartitionTest, MachinesThatComeUpTogetherCostAWriteAPage) {
  const auto before = store_.commits.size();
  for (int i = 0; i < 240; ++i)
    handle_heartbeat(1, token(), "", "vm-" + std::to_string(100'000 + i));
  run(Duration{1'000});
  EXPECT_EQ(cache_.records().machines.size(), 240U);
  std::size_t puts = 0;
  for (std::size_t i = before; i < store_.commits.size(); ++i) {
    puts += store_.commits[i].puts.size();
  }
  EXPECT_LE(puts, 240 / kPageMachines + 1) << "each put counts against the rate of writes";
}

TEST_F(WorkerPartitionTest, AMachineThatHungAndIsBackIsNotTakenForDeaf) {
  handle_heartbeat(1, token());
  release();
  run(Duration{50});
  ASSERT_EQ(task().state, TaskState::bound);
  run(Duration{20'000});  // it hangs: the start can't show
  handle_heartbeat(1, token());
  run(Duration{600});
  handle_heartbeat(1, token(), task_status("fetching"));
  run(Duration{600});
  EXPECT_EQ(machine_state(), MachineState::up);
}

TEST_F(WorkerPartitionTest, AZoneIsDarkUntilOneOfItsMachinesIsHeard) {
  MachineRecord m;
  m.machine_id = MachineId("vm-1");
  m.address = "10.1.0.1:9000";
  m.machine_type = "g8";
  m.zone = ZoneId("a");
  store_.put_machine(m);
  run(Duration{20});
  EXPECT_EQ(holder_.unreachable_zones(), std::set<ZoneId>{ZoneId("a")});
  handle_heartbeat(1, token());
  EXPECT_TRUE(holder_.unreachable_zones().empty());
  run(Duration{8'000});
  EXPECT_EQ(holder_.unreachable_zones(), std::set<ZoneId>{ZoneId("a")})
      << "no report for 2.5 times";
  handle_heartbeat(1, token(), "",
                   "vm-2");  // the zone is in reach again: the first of its machines
  run(Duration{2'000});
  EXPECT_EQ(machine_state(), MachineState::up) << "the others have had no time to report";
}

TEST_F(WorkerPartitionTest, AShardThatComesTellsMachinesWithWorkFirstAndNotAllAtOnce) {
  for (int i = 0; i < 300; ++i) {
    MachineRecord m;
    m.machine_id = MachineId("vm-" + std::to_string(1000 + i));
    m.address = i == 299 ? "10.1.1.2:9000" : "10.1.1.1:9000";
    m.machine_type = "g8";
    m.zone = ZoneId("a");
    store_.put_machine(m);
  }
  JobRecord job{testing::gang("req-1", 1, 1, 100), time_.wall(), std::nullopt};
  store_.put(keys::job(job.spec.job_id), encode(job));
  SliceRecord slice;
  slice.job_id = job.spec.job_id;
  slice.tasks.resize(1);
  slice.tasks[0].state = TaskState::bound;
  slice.tasks[0].attempt = Attempt(1);
  slice.tasks[0].zone = ZoneId("a");
  slice.tasks[0].machine_id = MachineId("vm-1299");
  store_.put(keys::slice(slice.job_id, 0), encode(slice));
  store_.put(keys::shard(ZoneId("a")),
             encode(ShardRecord{ZoneId("a"), NodeId("other"), ProcessIncarnation(9), 2}));
  run(Duration{20});
  workers_.sent.clear();
  store_.put(keys::shard(ZoneId("a")),
             encode(ShardRecord{ZoneId("a"), NodeId("me"), ProcessIncarnation(7), 3}));
  for (int i = 0; i < 20 && workers_.sent.empty(); ++i) {
    store_.deliver_watch_events();
    time_.advance(Duration{1});
  }
  ASSERT_FALSE(workers_.sent.empty());
  EXPECT_LT(workers_.sent.size(), 100U);
  EXPECT_EQ(workers_.sent.front().address, "10.1.1.2:9000") << "the one with work";
  run(Duration{200});
  EXPECT_EQ(workers_.sent.size(), 300U);
}

TEST_F(WorkerPartitionTest,
       AMachineThatSendsHeartbeatsButHearsNothingIsGivenUpWithoutFreeingItsTasks) {
  bind_and_start();
  heartbeat_for(Duration{12'000}, 1);  // the start does not show in any of its reports
  EXPECT_EQ(machine_state(), MachineState::silent);
  EXPECT_EQ(task().state, TaskState::bound) << "its silence about the task proves nothing";
  heartbeat_for(Duration{9'000}, 1);
  EXPECT_EQ(machine_state(), MachineState::silent) << "reports alone do not bring it back";
  // Its lease has lapsed, as it had to: that is the proof.
  handle_heartbeat(2, token());
  run(Duration{100});
  EXPECT_EQ(task().state, TaskState::idle);
  EXPECT_EQ(machine_state(), MachineState::silent);
}

TEST_F(WorkerPartitionTest, ALeaseThatLapsesUnderAnsweredHeartbeatsTellsADeafMachine) {
  handle_heartbeat(1, token());
  run(Duration{100});
  ASSERT_EQ(machine_state(), MachineState::up);
  heartbeat_for(Duration{24'000}, 1);
  handle_heartbeat(2, token());
  run(Duration{600});
  EXPECT_EQ(machine_state(), MachineState::silent);
  release();
  run(Duration{600});
  EXPECT_EQ(task().state, TaskState::released);
  // Once an order has reached it, it is as good as any.
  run(Duration{2'500});
  answer_direct(200);
  handle_heartbeat(2, token());
  run(Duration{100});
  EXPECT_EQ(machine_state(), MachineState::up);
}

TEST_F(WorkerPartitionTest, ALateCopyProvesNothingToAHolderThatHasJustBegun) {
  bind_and_start();
  handle_heartbeat(1, token(), task_status("running"));
  run(Duration{100});
  const auto old = token();
  give_shard("other", 9);
  give_shard("me", 7);  // it knows nothing of the worker any more
  ASSERT_GT(token(), old);
  handle_heartbeat(1, old);  // a copy from before the task had started
  run(Duration{200});
  EXPECT_EQ(task().state, TaskState::bound);
  handle_heartbeat(1, token(), task_status("running"));
  run(Duration{200});
  EXPECT_EQ(task().state, TaskState::bound);
}

TEST_F(WorkerPartitionTest, ALateCopyMakesNoMachineAliveAgain) {
  handle_heartbeat(1, token());
  run(Duration{100});
  const auto last = sequence_;
  const auto others_heartbeat = [this](Duration duration) {
    for (std::int64_t at = 0; at < duration.count(); at += 3000) {
      handle_heartbeat(1, token(), "", "vm-2");
      run(Duration{3000});
    }
  };
  others_heartbeat(Duration{12'000});
  ASSERT_EQ(machine_state(), MachineState::silent);
  const auto now = sequence_;
  sequence_ = last - 1;
  handle_heartbeat(1, token());  // the same heartbeat once more
  sequence_ = now;
  run(Duration{100});
  EXPECT_EQ(machine_state(), MachineState::silent) << "known to this holder";
  const auto old = token();
  give_shard("other", 9);
  give_shard("me", 7);
  handle_heartbeat(1, old);
  run(Duration{100});
  EXPECT_EQ(machine_state(), MachineState::silent) << "sent under an earlier warrant";
  handle_heartbeat(1, token());
  run(Duration{100});
  EXPECT_EQ(machine_state(), MachineState::up);
}

TEST_F(WorkerPartitionTest, ALateCopyNeitherAdoptsNorBringsBackAMachine) {
  handle_heartbeat(1, token() - 1, "", "vm-7");  // deleted long ago, and its record with it
  run(Duration{1000});
  EXPECT_FALSE(cache_.records().machines.contains(MachineId("vm-7")));
  MachineRecord machine;
  machine.machine_id = MachineId("vm-8");
  machine.zone = ZoneId("a");
  machine.machine_type = "g8";
  machine.state = MachineState::gone;
  store_.put_machine(machine);
  run(Duration{50});
  handle_heartbeat(1, token(), "", "vm-8");
  run(Duration{1000});
  EXPECT_EQ(machine_state("vm-8"), MachineState::gone);
}

TEST_F(WorkerPartitionTest, AControllerThatIsCutOffGivesWayAsSoonAsAWorkerHasHeardAnother) {
  handle_heartbeat(1, token());
  watch_answers_ = false;  // neither the state service nor a peer reaches it
  const auto ours = token();
  store_.put(keys::shard(ZoneId("a")),
             encode(ShardRecord{ZoneId("a"), NodeId("other"), ProcessIncarnation(9), 2}));
  run(Duration{1000});
  EXPECT_EQ(handle_heartbeat(1, ours).status, 200)
      << "it may still be the holder, for all it knows";
  // The new holder has introduced itself by a direct order: a 200 would be dropped, and the worker
  // would stay here until its lease is over.
  EXPECT_EQ(handle_heartbeat(1, token()).status, 421);
}

class ShardHolderOfferTest : public WorkerPartitionTest {
 protected:
  /// A job of one task that nobody has released yet, and the leader's offer for it.
  ReleaseOffer offered() {
    store_.put(keys::kLeader, encode(LeaderRecord{NodeId("boss"), ProcessIncarnation(1)}));
    JobRecord job;
    job.spec = testing::gang("req-1", 1, 1, 100);
    job.accepted = time_.wall();
    store_.put(keys::job(job.spec.job_id), encode(job));
    handle_heartbeat(1, token());
    run(Duration{100});
    ReleaseOffer offer;
    offer.term = store_.get(keys::kLeader)->mod_revision.get();
    offer.job_id = "req-1";
    offer.cache_revision = cache_.revision().get();
    offer.tasks = {{0, 1, "a", "vm-1"}};
    offer.sequence = ++last_serial_;
    offer.holder_incarnation = 7;
    offer.job_revision = store_.get(keys::job(job.spec.job_id))->mod_revision.get();
    return offer;
  }

 private:
  std::uint64_t last_serial_ = 0;
};

TEST_F(ShardHolderOfferTest, IsBoundInOneCommitAndThenStarted) {
  const auto offer = offered();
  const auto before = store_.commits.size();
  EXPECT_EQ(holder_.answer_offer(offer), OfferAnswer::accepted);
  EXPECT_EQ(store_.commits.size(), before + 1);
  EXPECT_EQ(task().state, TaskState::bound);
  run(Duration{50});
  EXPECT_TRUE(sent("start"));
  const std::string bound = store_.get(keys::slice(JobId("req-1"), 0))->value;
  const auto commits = store_.commits.size();
  EXPECT_EQ(holder_.answer_offer(offer), OfferAnswer::accepted)
      << "a copy gets the answer of the first";
  run(Duration{500});
  EXPECT_EQ(store_.get(keys::slice(JobId("req-1"), 0))->value, bound) << "and changes nothing";
  EXPECT_EQ(store_.commits.size(), commits);
}

TEST_F(ShardHolderOfferTest, WaitsForWhatTheLeaderKnew) {
  auto offer = offered();
  offer.cache_revision += 1;
  EXPECT_EQ(holder_.answer_offer(offer), OfferAnswer::accepted);
  EXPECT_FALSE(store_.get(keys::slice(JobId("req-1"), 0)));
  store_.put("mv/grants/req-9",
             encode(GuaranteeRecord{JobId("req-9"), {}, {}}, testing::kValueBytes));
  run(Duration{600});
  EXPECT_EQ(task().state, TaskState::bound);
}

TEST_F(ShardHolderOfferTest, ABindingThatArrivesAfterAChangeOfLeaderFails) {
  const auto offer = offered();
  store_.scripts = {Script::delay};
  holder_.answer_offer(offer);
  ASSERT_EQ(store_.delayed.size(), 1U);
  store_.put(keys::kLeader, encode(LeaderRecord{NodeId("other"), ProcessIncarnation(2)}));
  EXPECT_EQ(store_.apply_delayed().outcome, Outcome::conflict);
  run(Duration{100});
  EXPECT_EQ(holder_.answer_offer(offer), OfferAnswer::declined)
      << "the offer is of an earlier term";
}

TEST_F(ShardHolderOfferTest, IsDeclinedWhereItCannotBeBoundWhole) {
  auto offer = offered();
  offer.tasks[0].machine_id = "vm-9";
  offer.tasks[0].zone = "b";
  EXPECT_EQ(holder_.answer_offer(offer), OfferAnswer::declined) << "another's block";
  offer = offered();
  cancel();
  run(Duration{50});
  EXPECT_EQ(holder_.answer_offer(offer), OfferAnswer::declined);
  offer = offered();
  offer.holder_incarnation = 6;
  const auto commits = store_.commits.size();
  EXPECT_EQ(holder_.answer_offer(offer), OfferAnswer::accepted)
      << "an earlier life, for which it is, may have taken it";
  run(Duration{3'000});
  EXPECT_EQ(store_.commits.size(), commits) << "but it is not bound";
  offer = offered();
  --offer.job_revision;
  EXPECT_EQ(holder_.answer_offer(offer), OfferAnswer::declined) << "the job has changed";
  EXPECT_FALSE(decode_offer("nonsense"));
  EXPECT_EQ(decode_offer(encode(offer))->tasks.at(0).machine_id, "vm-1");
}

// The first is being bound, and its commit is on its way: to decline the copy would have the leader
// give the room to another job, and then both were bound.
TEST_F(ShardHolderOfferTest, ACopyIsNotDeclinedWhileTheFirstIsBeingBound) {
  const auto offer = offered();
  store_.scripts = {Script::delay};
  EXPECT_EQ(holder_.answer_offer(offer), OfferAnswer::accepted);
  EXPECT_EQ(holder_.answer_offer(offer), OfferAnswer::accepted);
  ASSERT_EQ(store_.delayed.size(), 1U) << "and it is committed once";
  EXPECT_EQ(store_.apply_delayed().outcome, Outcome::done);
}

// The leader gives the room of a declined offer to another job at once. A copy that comes when the
// reason for declining is gone must not be bound, though leader, job and slice are as they were.
TEST_F(ShardHolderOfferTest, WhatWasDeclinedIsNotBoundFromACopy) {
  auto offer = offered();
  offer.tasks[0].machine_id = "vm-2";
  // vm-1 has another's task, so it can't stand in for the machine that has not reported.
  JobRecord busy;
  busy.spec = testing::gang("req-9", 1, 1, 100);
  store_.put(keys::job(busy.spec.job_id), encode(busy));
  SliceRecord slice;
  slice.job_id = busy.spec.job_id;
  slice.tasks = {task()};
  slice.tasks[0].state = TaskState::bound;
  slice.tasks[0].machine_id = MachineId("vm-1");
  slice.tasks[0].zone = ZoneId("a");
  slice.tasks[0].epoch = WorkerEpoch(1);
  store_.put(keys::slice(slice.job_id, 0), encode(slice));
  run(Duration{50});
  EXPECT_EQ(holder_.answer_offer(offer), OfferAnswer::declined) << "that machine has not reported";
  handle_heartbeat(1, token(), "", "vm-2");
  run(Duration{100});
  // The room of the first offer, the whole of the team's limit, goes to another job.
  JobRecord other;
  other.spec = testing::gang("req-2", 1, 1, 100);
  other.accepted = time_.wall();
  store_.put(keys::job(other.spec.job_id), encode(other));
  run(Duration{50});
  ReleaseOffer second = offer;
  second.job_id = "req-2";
  second.sequence = offer.sequence + 1;
  second.job_revision = store_.get(keys::job(other.spec.job_id))->mod_revision.get();
  EXPECT_EQ(holder_.answer_offer(second), OfferAnswer::accepted);
  holder_.answer_offer(offer);
  run(Duration{500});
  std::size_t placed = 0;
  for (const std::string job_id : {"req-1", "req-2"}) {
    const auto entry = store_.get(keys::slice(JobId(job_id), 0));
    SliceRecord slice;
    json::Document doc;
    if (!entry || !json::parse(doc, entry->value) || !decode(doc, slice)) continue;
    for (const TaskRecord& task : slice.tasks) placed += task.placed() ? 1 : 0;
  }
  EXPECT_EQ(placed, 1U) << "the team's limit is one task";
}

}  // namespace
}  // namespace marblevale
