// A network partition between a shard's holder and its workers, in one direction or both: machines
// without heartbeats, machines that receive no orders, isolated controllers, and shards that move.
#include "support/shard_holder_fixture.hpp"

namespace marblevale {
namespace {

using testing::Script;
using testing::ShardHolderTest;

class WorkerPartitionTest : public ShardHolderTest {
 protected:
  /// vm-1 sends heartbeats at the normal interval, and each of them is answered.
  void heartbeat_for(Duration duration, std::uint64_t epoch, const std::string& parts = "") {
    for (Duration elapsed{}; elapsed < duration; elapsed += Duration{3000}) {
      handle_heartbeat(epoch, token(), parts);
      run(Duration{3000});
    }
  }

  /// The heartbeats of vm-1 are lost, but it answers orders; vm-2 sends heartbeats normally.
  void heartbeats_lost_for(Duration duration, std::uint64_t epoch, const std::string& parts,
                           int status = 200) {
    for (std::int64_t at = 0; at < duration.count(); at += 500) {
      if (at % 3000 == 0) handle_heartbeat(1, token(), "", "vm-2");
      answer_orders(status, epoch, parts);
      run(Duration{500});
    }
  }

  /// vm-1 answers the latest order.
  void answer_latest_order(int status) {
    const auto order = workers_.sent.back();
    order.reply(HttpReply::answer(status, heartbeat_text(1, token())));
    run(Duration{50});
  }

  [[nodiscard]] bool sent_since(std::size_t first, const std::string& order) const {
    return std::any_of(workers_.sent.begin() + static_cast<std::ptrdiff_t>(first),
                       workers_.sent.end(),
                       [&](const auto& s) { return s.body.find(order) != std::string::npos; });
  }
};

TEST_F(WorkerPartitionTest, NothingIsBoundToAMachineThatMayNotReceiveOrders) {
  EXPECT_EQ(handle_heartbeat(1, 0).status, 200);
  release();
  run(Duration{500});
  EXPECT_EQ(task().state, TaskState::released);
  ASSERT_FALSE(workers_.sent.empty()) << "the worker is told which controller holds its shard";
  answer_latest_order(200);
  handle_heartbeat(1, token());
  run(Duration{600});
  EXPECT_EQ(task().state, TaskState::bound);
}

TEST_F(WorkerPartitionTest, AHolderThatRecoversFromAPartitionDoesNotMarkItsMachinesSilent) {
  handle_heartbeat(1, token(), "", "vm-1");
  handle_heartbeat(1, token(), "", "vm-2");
  run(Duration{600});
  ASSERT_EQ(machine_state("vm-1"), MachineState::up);
  // The holder is cut off from the state service. All its workers but one have gone to the shard's
  // new holder.
  watch_answers_ = false;
  for (int i = 0; i < 10; ++i) {
    handle_heartbeat(1, token(), "", "vm-2");
    store_.scripts.assign(20, Script::refuse);
    run(Duration{3000});
  }
  put_shard("a", "other", 9, 2);
  put_shard("a", "me", 7, 3);
  store_.scripts.clear();
  watch_answers_ = true;
  run(Duration{2000});
  EXPECT_EQ(machine_state("vm-1"), MachineState::up) << "it may have reported elsewhere";
}

TEST_F(WorkerPartitionTest, MachinesThatComeUpTogetherCostOneWriteForEachPage) {
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

TEST_F(WorkerPartitionTest, AMachineThatResumesIsNotMarkedUnreachable) {
  handle_heartbeat(1, token());
  release();
  run(Duration{50});
  ASSERT_EQ(task().state, TaskState::bound);
  run(Duration{20'000});  // the machine hangs, so the start cannot be reported
  handle_heartbeat(1, token());
  run(Duration{600});
  handle_heartbeat(1, token(), task_status("fetching"));
  run(Duration{600});
  EXPECT_EQ(machine_state(), MachineState::up);
}

TEST_F(WorkerPartitionTest, AZoneIsUnreachableUntilAHeartbeatArrives) {
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
  // The first machine of the zone that is reachable again.
  handle_heartbeat(1, token(), "", "vm-2");
  run(Duration{2'000});
  EXPECT_EQ(machine_state(), MachineState::up) << "the others have had no time to report";
}

TEST_F(WorkerPartitionTest, ANewHolderContactsMachinesWithTasksFirstAndWithPacing) {
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
  put_shard("a", "other", 9, 2);
  run(Duration{20});
  workers_.sent.clear();
  put_shard("a", "me", 7, 3);
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

TEST_F(WorkerPartitionTest, AMachineThatReceivesNoOrdersIsSilentAndKeepsItsTasks) {
  bind_and_start();
  heartbeat_for(Duration{12'000}, 1);  // the start is missing from all its heartbeats
  EXPECT_EQ(machine_state(), MachineState::silent);
  EXPECT_EQ(task().state, TaskState::bound) << "its silence about the task proves nothing";
  heartbeat_for(Duration{9'000}, 1);
  EXPECT_EQ(machine_state(), MachineState::silent) << "reports alone do not bring it back";
  // The new epoch proves that the machine's lease has expired.
  handle_heartbeat(2, token());
  run(Duration{100});
  EXPECT_EQ(task().state, TaskState::idle);
  EXPECT_EQ(machine_state(), MachineState::silent);
}

TEST_F(WorkerPartitionTest, ALeaseExpiryDespiteAnsweredHeartbeatsMarksAMachineSilent) {
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
  // Once an order has reached the machine, it is used like any other machine.
  run(Duration{2'500});
  answer_latest_order(200);
  handle_heartbeat(2, token());
  run(Duration{100});
  EXPECT_EQ(machine_state(), MachineState::up);
}

TEST_F(WorkerPartitionTest, AnIsolatedControllerYieldsToTheHolderThatAWorkerHasSeen) {
  handle_heartbeat(1, token());
  watch_answers_ = false;  // neither the state service nor a peer reaches this controller
  const auto own_token = token();
  put_shard("a", "other", 9, 2);
  run(Duration{1000});
  EXPECT_EQ(handle_heartbeat(1, own_token).status, 200)
      << "it may still be the holder, for all it knows";
  // The worker has received a direct order of the new holder. It would drop a 200, and would stay
  // with this controller until its lease expires.
  EXPECT_EQ(handle_heartbeat(1, token()).status, 421);
}

TEST_F(WorkerPartitionTest, OrderRepliesDoNotReviveAMachineWithoutHeartbeats) {
  bind_and_start();
  handle_heartbeat(1, token(), "", "vm-2");
  heartbeats_lost_for(Duration{12'000}, 1, task_status("running"));
  EXPECT_EQ(machine_state(), MachineState::silent) << "its lease is not renewed";
  heartbeats_lost_for(Duration{9'000}, 1, task_status("running"));
  EXPECT_EQ(machine_state(), MachineState::silent) << "orders that it answers do not bring it back";
  EXPECT_EQ(task().state, TaskState::bound);
  handle_heartbeat(1, token(), task_status("running"));
  run(Duration{600});
  EXPECT_EQ(machine_state(), MachineState::up);
}

TEST_F(WorkerPartitionTest, NothingIsBoundToAMachineWithoutARecentHeartbeat) {
  handle_heartbeat(1, token());
  run(Duration{600});
  ASSERT_EQ(machine_state(), MachineState::up);
  run(Duration{8'000});
  ASSERT_EQ(machine_state(), MachineState::up) << "no machine reports: the fault may be ours";
  release();
  run(Duration{600});
  EXPECT_EQ(task().state, TaskState::released);
  handle_heartbeat(1, token());
  run(Duration{600});
  EXPECT_EQ(task().state, TaskState::bound);
}

TEST_F(WorkerPartitionTest, ANewEpochInAnOrderReplyFreesTheMachinesTasks) {
  bind_and_start();
  handle_heartbeat(1, token(), "", "vm-2");
  heartbeats_lost_for(Duration{24'000}, 1, task_status("running"));
  ASSERT_EQ(task().state, TaskState::bound);
  heartbeats_lost_for(Duration{6'000}, 2, "", 409);
  EXPECT_EQ(task().state, TaskState::idle) << "without waiting for its deletion";
  EXPECT_EQ(machine_state(), MachineState::silent);
}

TEST_F(WorkerPartitionTest, ANewHolderUsesItsMachinesAtOnceExceptSilentOnes) {
  MachineRecord machine;
  machine.machine_id = MachineId("vm-1");
  machine.address = "10.1.0.1:9000";
  machine.machine_type = "g8";
  machine.zone = ZoneId("a");
  store_.put_machine(machine);
  assign_shard("other", 9);
  assign_shard("me", 7);
  answer_orders(409);
  run(Duration{500});
  answer_orders(200);
  release();
  run(Duration{600});
  EXPECT_EQ(task().state, TaskState::bound) << "it has had no time to report";

  assign_shard("other", 9);
  machine.state = MachineState::silent;
  store_.put_machine(machine);
  assign_shard("me", 7);
  answer_orders(200);
  run(Duration{600});
  answer_orders(200);
  run(Duration{600});
  EXPECT_EQ(machine_state(), MachineState::silent)
      << "it may send no heartbeats: one has to arrive first";
  handle_heartbeat(1, token());
  run(Duration{600});
  EXPECT_EQ(machine_state(), MachineState::up);
}

TEST_F(WorkerPartitionTest, ADelayedStartIsKilledOnAMachineWithoutHeartbeats) {
  bind_and_start();
  handle_heartbeat(1, token(), "", "vm-2");
  const auto before = workers_.sent.size();
  heartbeats_lost_for(Duration{12'000}, 1,
                      task_status("running") + "," + task_status_of("req-9/0", "running", "", 1));
  EXPECT_TRUE(sent_since(before, R"("verb":"kill","part":"req-9/0")"));
}

TEST_F(WorkerPartitionTest, AnUnreachableMachineKeepsItsTasksThroughAShardMove) {
  bind_and_start();
  handle_heartbeat(1, token(), task_status("running"));
  run(Duration{100});
  const auto old_token = token();
  assign_shard("other", 9);
  assign_shard("me", 7);
  const auto heartbeat_for_both = [&](Duration duration) {
    for (std::int64_t at = 0; at < duration.count(); at += 3000) {
      // Either the end of the task is lost, or this heartbeat is old.
      handle_heartbeat(1, old_token);
      handle_heartbeat(1, token(), "", "vm-2");
      run(Duration{3000});
    }
  };
  heartbeat_for_both(Duration{12'000});
  EXPECT_EQ(machine_state(), MachineState::silent) << "its answers vanish, its lease will lapse";
  cancel();
  heartbeat_for_both(Duration{6'000});
  EXPECT_EQ(task().state, TaskState::bound) << "what the last holder sent may still arrive";
  handle_heartbeat(2, old_token);
  run(Duration{100});
  EXPECT_EQ(task().state, TaskState::idle)
      << "a new epoch is evidence, whatever orders it has received";
}

}  // namespace
}  // namespace marblevale
