// A gang whose release exceeds one transaction of the state service.
#include "support/large_records.hpp"
#include "support/leader_loop_fixture.hpp"

namespace marblevale {
namespace {

using testing::kLoweredBytes;
using testing::Script;

class WideGangReleaseTest : public testing::LeaderLoopTest {
 protected:
  static constexpr std::uint32_t kTasks = 7 * kSliceTasks;

  void begin_with_wide_gang() {
    store_.announce_limits(kLoweredBytes, 5);
    store_.enforces_announced_limits = true;
    set_limit(1000);
    for (int i = 0; i < 60; ++i) machine("vm-" + std::to_string(1000 + i));
    begin();
    submit(testing::gang("req-1", kTasks, 1, 60));
  }
  [[nodiscard]] std::map<Attempt, std::size_t> placed_by_attempt() const {
    std::map<Attempt, std::size_t> out;
    for (const auto& [key, slice] : cache_.records().slices) {
      for (const TaskRecord& task : slice.record.tasks) {
        if (task.placed()) ++out[task.attempt];
      }
    }
    return out;
  }
};

TEST_F(WideGangReleaseTest, IsCommittedInStepsThatFitOneTransactionEach) {
  begin_with_wide_gang();
  // The refused step must be sent again, because the tasks of the other step wait for its tasks.
  store_.key_scripts[keys::slice(JobId("req-1"), 6)] = {Script::refuse};
  run(Duration{3'000});
  EXPECT_EQ(placed_by_attempt(), (std::map<Attempt, std::size_t>{{Attempt(1), kTasks}}));
}

// The leader's term ends between the steps. The released tasks count, and the remaining tasks must
// not be released beside them under another attempt.
TEST_F(WideGangReleaseTest, IsNotReleasedAgainAfterAPartialRelease) {
  begin_with_wide_gang();
  store_.lower_limits(LimitsEvidence::compact_record);
  auto& last_step = store_.key_scripts[keys::slice(JobId("req-1"), 6)];
  last_step.assign(10'000, Script::drop_request);
  for (int i = 0; i < 400 && placed_by_attempt().empty(); ++i) run(Duration{10});
  ASSERT_EQ(placed_by_attempt(), (std::map<Attempt, std::size_t>{{Attempt(1), 5 * kSliceTasks}}));
  put_leader("other", 9);
  run(Duration{100});
  last_step.clear();
  put_leader("me", 7);
  run(Duration{3'000});
  EXPECT_EQ(placed_by_attempt(), (std::map<Attempt, std::size_t>{{Attempt(1), 5 * kSliceTasks}}));
}

}  // namespace
}  // namespace marblevale
