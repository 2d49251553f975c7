// A holder and its workers when two faults meet: machines that are silent towards controllers or
// out of reach for commands, reports, orders and answers that are held up, a shard that moves
// meanwhile, two lives of one node.
#include "support/shard_holder_fixture.hpp"

namespace marblevale {
namespace {

using testing::Script;
using testing::ShardHolderTest;

class DelayedMessageTest : public ShardHolderTest {
 protected:
  [[nodiscard]] MachineState machine_state(const std::string& machine_id = "vm-1") const {
    const auto it = cache_.records().machines.find(MachineId(machine_id));
    return it == cache_.records().machines.end() ? MachineState::gone : it->second.record.state;
  }

  /// vm-1 answers the orders that wait for it, one after the other, with a newer heartbeat.
  void answer_orders(int status, std::uint64_t epoch = 1, const std::string& parts = "") {
    for (; answered_ < workers_.sent.size(); ++answered_) {
      const auto then = workers_.sent[answered_].then;
      then(HttpReply::answer(
          status, R"({"host":"vm-1","address":"10.1.0.1:9000","build":"g8","district":"a",)"
                  R"("loaners":false,"tenure":)" +
                      std::to_string(epoch) + R"(,"tally":)" + std::to_string(++sequence_) +
                      R"(,"warrant":)" + std::to_string(token()) + R"(,"recall_s":null,"parts":[)" +
                      parts + "]}"));
    }
  }

  /// vm-1 reports to nobody, but answers orders; vm-2 reports as its times have it.
  void heartbeats_lost_for(Duration duration, std::uint64_t epoch, const std::string& parts,
                           int status = 200) {
    for (std::int64_t at = 0; at < duration.count(); at += 500) {
      if (at % 3000 == 0) handle_heartbeat(1, token(), "", "vm-2");
      answer_orders(status, epoch, parts);
      run(Duration{500});
    }
  }

  /// A gang that is bound to vm-1, vm-2 and so on in this order.
  void put_bound_gang(std::uint32_t parts, WallTime running) {
    JobRecord job{testing::gang("req-1", parts, 1, 100), time_.wall(), std::nullopt};
    store_.put(keys::job(job.spec.job_id), encode(job));
    SliceRecord slice;
    slice.job_id = job.spec.job_id;
    for (std::uint32_t i = 0; i < parts; ++i) {
      TaskRecord task;
      task.state = TaskState::bound;
      task.attempt = Attempt(2);
      task.zone = ZoneId("a");
      task.machine_id = MachineId("vm-" + std::to_string(i + 1));
      task.epoch = WorkerEpoch(1);
      task.running = running;
      slice.tasks.push_back(task);
    }
    store_.put(keys::slice(slice.job_id, 0), encode(slice));
    run(Duration{50});
  }

  static std::string item(const std::string& id, const std::string& status,
                          const std::string& cause = "", std::uint64_t attempt = 2) {
    return R"({"part":")" + id + R"(","try":)" + std::to_string(attempt) + R"(,"status":")" +
           status + R"(","cause":")" + cause + R"("})";
  }

  [[nodiscard]] TaskState state_of(std::size_t index) const {
    return cache_.records().slice(JobId("req-1"), 0)->record.tasks.at(index).state;
  }

  [[nodiscard]] bool told(std::size_t from, const std::string& order) const {
    return std::any_of(workers_.sent.begin() + static_cast<std::ptrdiff_t>(from),
                       workers_.sent.end(),
                       [&](const auto& s) { return s.body.find(order) != std::string::npos; });
  }

  std::size_t answered_ = 0;  // of the orders that were sent
};

// A silent towards controllers machine reaches no controller, while direct commands reach it.

TEST_F(DelayedMessageTest, AnswersToOrdersDoNotMakeAMuteMachineLookHealthy) {
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

TEST_F(DelayedMessageTest, NothingIsBoundToAMachineThatHasNotReportedForAWhile) {
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

TEST_F(DelayedMessageTest, AMuteMachinesNewEpochIsToldByItsAnswerAndFreesItsTasks) {
  bind_and_start();
  handle_heartbeat(1, token(), "", "vm-2");
  heartbeats_lost_for(Duration{24'000}, 1, task_status("running"));
  ASSERT_EQ(task().state, TaskState::bound);
  heartbeats_lost_for(Duration{6'000}, 2, "", 409);
  EXPECT_EQ(task().state, TaskState::idle) << "without waiting for its deletion";
  EXPECT_EQ(machine_state(), MachineState::silent);
}

TEST_F(DelayedMessageTest, AShardThatComesUsesItsMachinesAtOnceButForSilentOnes) {
  MachineRecord machine;
  machine.machine_id = MachineId("vm-1");
  machine.address = "10.1.0.1:9000";
  machine.machine_type = "g8";
  machine.zone = ZoneId("a");
  store_.put_machine(machine);
  give_shard("other", 9);
  give_shard("me", 7);
  answer_orders(409);
  run(Duration{500});
  answer_orders(200);
  release();
  run(Duration{600});
  EXPECT_EQ(task().state, TaskState::bound) << "it has had no time to report";

  give_shard("other", 9);
  machine.state = MachineState::silent;
  store_.put_machine(machine);
  give_shard("me", 7);
  answer_orders(200);
  run(Duration{600});
  answer_orders(200);
  run(Duration{600});
  EXPECT_EQ(machine_state(), MachineState::silent) << "it may be mute: it has to report first";
  handle_heartbeat(1, token());
  run(Duration{600});
  EXPECT_EQ(machine_state(), MachineState::up);
}

// Heartbeats that are held back, old ones, and copies.

TEST_F(DelayedMessageTest, AHeartbeatThatWasHeldUpDoesNotMakeAMachineDeaf) {
  handle_heartbeat(1, token());
  run(Duration{30'000});         // cut off, until its lease is over
  handle_heartbeat(1, token());  // sent before
  run(Duration{1'000});
  handle_heartbeat(2, token());
  run(Duration{600});
  release();
  run(Duration{600});
  EXPECT_EQ(task().state, TaskState::bound) << "nothing shows that it had the late answer";
}

TEST_F(DelayedMessageTest, CopiesFromBeforeTheShardMovedDoNotMakeAMachineDeaf) {
  handle_heartbeat(1, token());
  run(Duration{600});
  const auto old = token();
  give_shard("other", 9);
  give_shard("me", 7);
  for (int i = 0; i < 5; ++i) {
    handle_heartbeat(1, old);  // held back, and a newer one each time
    run(Duration{3'000});
  }
  handle_heartbeat(2, token());
  run(Duration{600});
  release();
  run(Duration{600});
  EXPECT_EQ(task().state, TaskState::bound);
}

TEST(DelayedHeartbeat, AHeartbeatOfAnEarlierEpochProvesNothing) {
  TaskRecord task;
  task.state = TaskState::bound;
  task.attempt = Attempt(2);
  task.epoch = WorkerEpoch(3);
  WorkerHeartbeat heartbeat;
  heartbeat.epoch = WorkerEpoch(2);
  heartbeat.sequence = HeartbeatSequence(900);
  heartbeat.token = FencingToken(10);
  WorkerStatus view;
  view.apply(heartbeat);
  EXPECT_EQ(classify_presence({JobId("req-1"), 0}, task, view, FencingToken(10)),
            TaskPresence::not_reported);
}

// A command or its answer held up for seconds.

TEST_F(DelayedMessageTest, AnAnswerToAnOrderSettlesNoStartThatIsInAHeldUpAnswer) {
  bind_and_start();  // the order is on its way, so that the next start goes by an answer
  JobRecord job{testing::gang("req-2", 1, 1, 100), time_.wall(), std::nullopt};
  store_.put(keys::job(job.spec.job_id), encode(job));
  SliceRecord slice;
  slice.job_id = job.spec.job_id;
  slice.tasks.resize(1);
  slice.tasks[0].state = TaskState::released;
  slice.tasks[0].attempt = Attempt(1);
  slice.tasks[0].zone = ZoneId("a");
  slice.tasks[0].machine_id = MachineId("vm-1");
  slice.tasks[0].since = time_.wall();
  store_.put(keys::slice(slice.job_id, 0), encode(slice));
  run(Duration{100});
  const auto state = [&] {
    return cache_.records().slice(JobId("req-2"), 0)->record.tasks.at(0).state;
  };
  ASSERT_EQ(state(), TaskState::bound);
  ASSERT_NE(handle_heartbeat(1, token(), task_status("running")).body.find("req-2/0"),
            std::string::npos);
  ASSERT_FALSE(sent("req-2/0"));
  job.cancelled = time_.wall();
  store_.put(keys::job(job.spec.job_id), encode(job));
  run(Duration{50});
  answer_orders(200, 1, task_status("running"));  // overtakes the answer that bears the start
  run(Duration{600});
  EXPECT_EQ(state(), TaskState::bound) << "the start may still be executed";
  handle_heartbeat(1, token(), task_status("running"));  // it had the answer, or has dropped it
  run(Duration{600});
  EXPECT_EQ(state(), TaskState::idle);
}

TEST_F(DelayedMessageTest, AStartThatWasAnsweredCanComeAgain) {
  bind_and_start();
  answer_orders(200, 1, task_status("running"));
  handle_heartbeat(1, token(), task_status("ended", "error"));
  run(Duration{50});
  ASSERT_EQ(task().state, TaskState::idle);
  EXPECT_EQ(handle_heartbeat(1, token(), task_status("ended", "error")).body.find("clear"),
            std::string::npos);
  run(Duration{9'000});
  EXPECT_NE(handle_heartbeat(1, token(), task_status("ended", "error")).body.find("clear"),
            std::string::npos)
      << "a higher warrant has ended that";
}

TEST_F(DelayedMessageTest, AStartThatCameTooLateIsKilledOnAMuteMachineToo) {
  bind_and_start();
  handle_heartbeat(1, token(), "", "vm-2");
  const auto before = workers_.sent.size();
  heartbeats_lost_for(Duration{12'000}, 1,
                      task_status("running") + "," + item("req-9/0", "running", "", 1));
  EXPECT_TRUE(told(before, R"("verb":"kill","part":"req-9/0")"));
}

// Two lives of one node.

TEST_F(DelayedMessageTest, TheShardOfAnEarlierLifeIsTakenAnewAndItsLateCommitsFail) {
  store_.scripts.assign(50, Script::refuse);
  give_shard("me", 6);
  const auto earlier = token();
  EXPECT_NE(handle_heartbeat(1, 0).status, 200) << "the earlier life may have commits on their way";
  store_.scripts.clear();
  run(Duration{1'000});
  ASSERT_GT(token(), earlier);
  EXPECT_EQ(handle_heartbeat(1, earlier).status, 200);
  Transaction binding;
  binding.guard(keys::shard(ZoneId("a")), ModRevision(earlier)).put("mv/slices/req-1/0", "{}");
  Outcome outcome = Outcome::done;
  store_.commit(RequestPriority::binding, binding,
                [&](const CommitResult& r) { outcome = r.outcome; });
  EXPECT_EQ(outcome, Outcome::conflict);
}

// A out of reach for commands machine while its shard moves.

TEST_F(DelayedMessageTest, ADeafMachineWhoseShardMovesGetsNothingNewAndKeepsItsTasksUntilProof) {
  bind_and_start();
  handle_heartbeat(1, token(), task_status("running"));
  run(Duration{100});
  const auto old = token();
  give_shard("other", 9);
  give_shard("me", 7);
  const auto heartbeats = [&](Duration duration) {
    for (std::int64_t at = 0; at < duration.count(); at += 3000) {
      handle_heartbeat(1,
                       old);  // the task has ended and its end is lost, or this is an old heartbeat
      handle_heartbeat(1, token(), "", "vm-2");
      run(Duration{3000});
    }
  };
  heartbeats(Duration{12'000});
  EXPECT_EQ(machine_state(), MachineState::silent) << "its answers vanish, its lease will lapse";
  cancel();
  heartbeats(Duration{6'000});
  EXPECT_EQ(task().state, TaskState::bound) << "what the last holder sent may still arrive";
  handle_heartbeat(2, old);
  run(Duration{100});
  EXPECT_EQ(task().state, TaskState::idle) << "a new session is proof, whatever it has heard";
}

// One done, all done.

TEST_F(DelayedMessageTest, AKeptResultOfAGangFreesNoPlaceOfThoseThatStillFetch) {
  handle_heartbeat(1, token(), "", "vm-1");
  handle_heartbeat(1, token(), "", "vm-2");
  put_bound_gang(2, WallTime{});  // started again after its end, which nobody heard of
  handle_heartbeat(1, token(), item("req-1/0", "ended", "done"), "vm-1");
  handle_heartbeat(1, token(), item("req-1/1", "fetching"), "vm-2");
  run(Duration{3'000});
  EXPECT_EQ(state_of(0), TaskState::done);
  EXPECT_EQ(state_of(1), TaskState::bound) << "it will be on its machine for a moment yet";
  handle_heartbeat(1, token(), item("req-1/1", "ended", "done"), "vm-2");
  run(Duration{500});
  EXPECT_TRUE(store_.get(keys::final_job(JobId("req-1"))));
}

TEST_F(DelayedMessageTest, AGangWhoseRestIsLostAfterItsEndIsDone) {
  handle_heartbeat(1, token(), "", "vm-1");
  handle_heartbeat(1, token(), "", "vm-2");
  put_bound_gang(2, WallTime{});
  handle_heartbeat(1, token(), item("req-1/0", "ended", "done"), "vm-1");
  run(Duration{3'000});
  handle_heartbeat(2, token(), "", "vm-2");
  run(Duration{500});
  EXPECT_TRUE(store_.get(keys::final_job(JobId("req-1"))));
}

TEST_F(DelayedMessageTest, AGangThatRanIsDoneWithTheFirstOfItsTasks) {
  handle_heartbeat(1, token(), "", "vm-1");
  handle_heartbeat(1, token(), "", "vm-2");
  put_bound_gang(2, time_.wall());
  handle_heartbeat(1, token(), item("req-1/0", "ended", "done"), "vm-1");
  run(Duration{100});
  EXPECT_TRUE(store_.get(keys::final_job(JobId("req-1"))));
}

}  // namespace
}  // namespace marblevale
