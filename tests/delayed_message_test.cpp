// Heartbeats, orders and answers that are delayed or duplicated, also across a move of the shard
// and a restart of the controller.
#include "support/shard_holder_fixture.hpp"

namespace marblevale {
namespace {

using testing::Script;

class DelayedMessageTest : public testing::ShardHolderTest {};

TEST_F(DelayedMessageTest, ADelayedHeartbeatDoesNotMakeAMachineUnreachable) {
  handle_heartbeat(1, token());
  run(Duration{30'000});         // the worker is cut off until its lease expires
  handle_heartbeat(1, token());  // sent before the partition
  run(Duration{1'000});
  handle_heartbeat(2, token());
  run(Duration{600});
  release();
  run(Duration{600});
  EXPECT_EQ(task().state, TaskState::bound) << "nothing shows that it had the late answer";
}

TEST_F(DelayedMessageTest, DuplicatesFromBeforeTheShardMovedDoNotMakeAMachineUnreachable) {
  handle_heartbeat(1, token());
  run(Duration{600});
  const auto old_token = token();
  assign_shard("other", 9);
  assign_shard("me", 7);
  for (int i = 0; i < 5; ++i) {
    handle_heartbeat(1, old_token);  // delayed heartbeats, a newer one each time
    run(Duration{3'000});
  }
  handle_heartbeat(2, token());
  run(Duration{600});
  release();
  run(Duration{600});
  EXPECT_EQ(task().state, TaskState::bound);
}

TEST_F(DelayedMessageTest, AnOrderReplyResolvesNoStartInADelayedHeartbeatReply) {
  // The direct order stays in flight, so the next start is sent in a heartbeat reply.
  bind_and_start();
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
  answer_orders(200, 1, task_status("running"));  // overtakes the heartbeat reply with the start
  run(Duration{600});
  EXPECT_EQ(state(), TaskState::bound) << "the start may still be executed";
  // The worker has received the heartbeat reply by now, or has dropped it.
  handle_heartbeat(1, token(), task_status("running"));
  run(Duration{600});
  EXPECT_EQ(state(), TaskState::idle);
}

TEST_F(DelayedMessageTest, AnAnsweredStartCanBeDeliveredTwice) {
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
      << "a higher fencing token excludes that";
}

// A machine's record may be unreadable for a while. The holder then forgot the start with the
// worker, under an unchanged fencing token, and took a start that was still on its way for one that
// could not arrive.
TEST_F(DelayedMessageTest, AStartIsRememberedWhileItsMachineHasNoRecord) {
  settings_.workers.lease = Duration{45'000};  // the machine is silent for less
  bind_and_start();
  const auto seen_token = token();
  const std::string page = keys::machine_page(ZoneId("a"), MachineId("vm-1"));
  const std::string readable = store_.get(page)->value;
  store_.put(page, R"({"v":99})");
  for (int second = 0; second < 40; ++second) {
    leave_orders_unanswered();
    run(Duration{1'000});
  }
  leave_orders_unanswered();
  ASSERT_FALSE(cache_.records().machines.contains(MachineId("vm-1")));
  store_.put(page, readable);
  run(Duration{50});
  ASSERT_EQ(token(), seen_token);
  cancel();
  run(Duration{50});
  handle_heartbeat(1, seen_token);
  run(Duration{50});
  EXPECT_EQ(task().state, TaskState::bound) << "the start may still arrive";
  run(Duration{9'000});
  ASSERT_GT(token(), seen_token);
  handle_heartbeat(1, token());
  run(Duration{50});
  EXPECT_EQ(task().state, TaskState::idle) << "a higher fencing token excludes that";
}

TEST_F(DelayedMessageTest, TheShardOfAnEarlierIncarnationIsReacquiredAndItsDelayedCommitsFail) {
  store_.scripts.assign(50, Script::refuse);
  assign_shard("me", 6);
  const auto earlier_token = token();
  EXPECT_NE(handle_heartbeat(1, 0).status, 200)
      << "the earlier incarnation may have commits in flight";
  store_.scripts.clear();
  run(Duration{1'000});
  ASSERT_GT(token(), earlier_token);
  EXPECT_EQ(handle_heartbeat(1, earlier_token).status, 200);
  Transaction binding;
  binding.guard(keys::shard(ZoneId("a")), ModRevision(earlier_token))
      .put("mv/slices/req-1/0", "{}");
  Outcome outcome = Outcome::done;
  store_.commit(RequestPriority::binding, binding,
                [&](const CommitResult& r) { outcome = r.outcome; });
  EXPECT_EQ(outcome, Outcome::conflict);
}

TEST_F(DelayedMessageTest, ADuplicateIsNoEvidenceForANewHolder) {
  bind_and_start();
  handle_heartbeat(1, token(), task_status("running"));
  run(Duration{100});
  const auto old_token = token();
  assign_shard("other", 9);
  assign_shard("me", 7);  // the new ownership has no state of the worker
  ASSERT_GT(token(), old_token);
  handle_heartbeat(1, old_token);  // a duplicate that was sent before the task started
  run(Duration{200});
  EXPECT_EQ(task().state, TaskState::bound);
  handle_heartbeat(1, token(), task_status("running"));
  run(Duration{200});
  EXPECT_EQ(task().state, TaskState::bound);
}

TEST_F(DelayedMessageTest, ADuplicateDoesNotReviveASilentMachine) {
  handle_heartbeat(1, token());
  run(Duration{100});
  const auto vm1_sequence = sequence_;
  const auto heartbeat_vm2_for = [this](Duration duration) {
    for (std::int64_t at = 0; at < duration.count(); at += 3000) {
      handle_heartbeat(1, token(), "", "vm-2");
      run(Duration{3000});
    }
  };
  heartbeat_vm2_for(Duration{12'000});
  ASSERT_EQ(machine_state(), MachineState::silent);
  const auto current_sequence = sequence_;
  sequence_ = vm1_sequence - 1;
  handle_heartbeat(1, token());  // a duplicate of the same heartbeat
  sequence_ = current_sequence;
  run(Duration{100});
  EXPECT_EQ(machine_state(), MachineState::silent) << "known to this holder";
  const auto old_token = token();
  assign_shard("other", 9);
  assign_shard("me", 7);
  handle_heartbeat(1, old_token);
  run(Duration{100});
  EXPECT_EQ(machine_state(), MachineState::silent) << "sent under an earlier fencing token";
  handle_heartbeat(1, token());
  run(Duration{100});
  EXPECT_EQ(machine_state(), MachineState::up);
}

TEST_F(DelayedMessageTest, ADuplicateDoesNotRegisterADeletedMachine) {
  handle_heartbeat(1, token() - 1, "", "vm-7");  // the machine and its record were deleted long ago
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

}  // namespace
}  // namespace marblevale
