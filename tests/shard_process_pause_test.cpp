// A shard holder whose process was paused does not mark its machines as silent. It neither starts
// tasks nor renews leases until its cached records are fresh again.
#include "support/shard_holder_fixture.hpp"

namespace marblevale {
namespace {

class ShardProcessPauseTest : public testing::ShardHolderTest {};

TEST_F(ShardProcessPauseTest, APauseOfThisProcessDoesNotMakeItsMachinesSilent) {
  handle_heartbeat(1, token(), "", "vm-1");
  handle_heartbeat(1, token(), "", "vm-2");
  run(Duration{600});
  ASSERT_EQ(machine_state("vm-1"), MachineState::up);
  time_.pause_process(Duration{51'000});
  handle_heartbeat(1, token(), "", "vm-2");  // the first machine to send a heartbeat again
  run(Duration{1'000});
  EXPECT_EQ(machine_state("vm-1"), MachineState::up) << "it has had no time to report";
  for (int i = 0; i < 4; ++i) {
    handle_heartbeat(1, token(), "", "vm-2");
    run(Duration{3'000});
  }
  EXPECT_EQ(machine_state("vm-1"), MachineState::silent);
}

TEST_F(ShardProcessPauseTest, APausedHolderStartsNothingBeforeItsCacheIsFresh) {
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

TEST_F(ShardProcessPauseTest, AHolderPausedForLongAnswersNoHeartbeatBeforeItsCacheIsFresh) {
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

}  // namespace
}  // namespace marblevale
