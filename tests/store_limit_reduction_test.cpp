// The state service announces lower limits and enforces them later without notice. Records are then
// rewritten to fit; until then the version in production must be able to read them.
#include "config/settings.hpp"
#include "leader/open_releases.hpp"
#include "support/large_records.hpp"
#include "support/shard_holder_fixture.hpp"

namespace marblevale {
namespace {

using testing::kLoweredBytes;
using testing::kLoweredSize;
using testing::largest_slice;

TEST(StoreLimits, OperationsFitCurrentAndAnnouncedLimits) {
  StoreLimits limits;
  limits.txn_ops = 16;
  limits.value_bytes = 8192;
  EXPECT_EQ(limits.max_operations(), 16U);
  limits.next = AnnouncedLimits{100, 50, 2048, 5};
  EXPECT_EQ(limits.max_operations(), 5U);
  EXPECT_EQ(limits.lasting_value_bytes(), 2048U);
  limits.next = AnnouncedLimits{100, 50, 65'536, 40};
  EXPECT_EQ(limits.max_operations(), 16U) << "the present limits hold as well";
  EXPECT_EQ(limits.lasting_value_bytes(), 8192U);
}

TEST(StoreLimits, OnlyARefusedLargeValueIsEvidenceOfLoweredLimits) {
  StoreLimits limits;
  Transaction small;
  small.put("a", std::string(100, 'x'));
  Transaction large;
  large.put("a", std::string(3000, 'x'));
  Transaction above_both;
  above_both.put("a", std::string(9000, 'x'));
  EXPECT_FALSE(exceeds_announced_value_limit(large, limits)) << "none are announced";
  limits.next = AnnouncedLimits{100, 50, 2048, 5};
  EXPECT_FALSE(exceeds_announced_value_limit(small, limits));
  EXPECT_TRUE(exceeds_announced_value_limit(large, limits));
  EXPECT_FALSE(exceeds_announced_value_limit(above_both, limits))
      << "the present limits refuse it as well";
}

class StoreLimitReductionTest : public testing::ShardHolderTest {
 protected:
  /// A batch job whose 64 tasks are released to vm-1; its slice is too large for the lowered limit.
  void put_large_released_slice() {
    const JobSpec spec = testing::batch("req-1", kSliceTasks, 0, 100);
    store_.put(keys::job(spec.job_id), encode(JobRecord{spec, time_.wall(), std::nullopt}));
    SliceRecord slice;
    slice.job_id = spec.job_id;
    slice.tasks.resize(kSliceTasks);
    for (TaskRecord& task : slice.tasks) {
      task.state = TaskState::released;
      task.attempt = Attempt(1);
      task.zone = ZoneId("a");
      task.machine_id = MachineId("vm-1");
      task.since = time_.wall();
      task.progress = Duration{1'234'567};
    }
    store_.put(keys::slice(slice.job_id, 0), encode(slice));
  }

  /// The machine reports the end of the first task; runs until the slice can have been written.
  void end_first_task() {
    handle_heartbeat(1, token(), task_status("ended", "done"));
    run(Duration{12'000});
  }

  [[nodiscard]] std::string stored_slice() const {
    return store_.get(keys::slice(JobId("req-1"), 0))->value;
  }

  void bind_large_slice() {
    store_.announce_limits(kLoweredBytes, 5);
    handle_heartbeat(1, 0);
    run(Duration{50});
    handle_heartbeat(1, token());
    put_large_released_slice();
    run(Duration{1'000});
    ASSERT_EQ(task().state, TaskState::bound);
  }
};

TEST_F(StoreLimitReductionTest, AnnouncedLimitsDoNotChangeTheEncoding) {
  bind_large_slice();
  EXPECT_GT(stored_slice().size(), kLoweredBytes);
  EXPECT_NE(stored_slice().find("{\"v\":2,"), std::string::npos) << "older versions read only this";
}

TEST_F(StoreLimitReductionTest, ALargeRecordIsRewrittenOnceLimitsAreLowered) {
  bind_large_slice();
  store_.enforces_announced_limits = true;
  end_first_task();
  EXPECT_EQ(store_.refused_for_size, 1)
      << "what was refused for its size is not sent again as it is";
  EXPECT_LE(stored_slice().size(), kLoweredBytes);
  EXPECT_EQ(task().state, TaskState::done);
}

TEST_F(StoreLimitReductionTest, NoCompactEncodingWhileALiveControllerCannotReadIt) {
  bind_large_slice();
  store_.put(keys::node(NodeId("other")), R"({"v":1,"node":"other","nonce":3,"permit":9})");
  run(Duration{100});
  store_.enforces_announced_limits = true;
  end_first_task();
  EXPECT_GT(stored_slice().size(), kLoweredBytes);
  EXPECT_EQ(task().state, TaskState::bound) << "nothing was lost: it waits";
  NodeRecord upgraded{NodeId("other"), ProcessIncarnation(4), LeaseId(9), kNewestReadableForm};
  store_.put(keys::node(NodeId("other")), encode(upgraded));
  run(Duration{12'000});
  EXPECT_EQ(task().state, TaskState::done);
  EXPECT_LE(stored_slice().size(), kLoweredBytes);
}

TEST_F(StoreLimitReductionTest, ACompactRecordIsEvidenceOfLoweredLimits) {
  bind_large_slice();
  SliceRecord slice = largest_slice();
  slice.job_id = JobId("req-2");
  store_.put(keys::slice(slice.job_id, slice.number), encode(slice, kLoweredSize));
  run(Duration{50});
  EXPECT_TRUE(cache_.record_size().compact_allowed);
  EXPECT_EQ(cache_.record_size().max_bytes, kLoweredBytes);
}

TEST(OpenReleases, ARetryUsesAnEncodingThatFitsTheLoweredLimits) {
  // The first commit gets no answer, and the limits are lowered before the retry. If the retry had
  // the same encoding, it would always be refused, and the release would always count against the
  // team's quota.
  testing::FakeTime time;
  Loop loop(&time);
  testing::ScriptedStore store;
  WatchCache cache(loop, time, store, 1);
  cache.begin();
  OpenReleases releases;
  releases.begin_term(ModRevision(1));
  SliceChangeRequest request;
  request.slices = {largest_slice()};
  const SliceRecord& slice = request.slices.front();
  const std::string key = keys::slice(slice.job_id, slice.number);
  const ReleaseId id = releases.add(request, cache.records());
  const Transaction first = releases.mark_sent(id, RecordSize{});
  EXPECT_EQ(first.puts.front().value, encode(slice));
  EXPECT_EQ(first.guards, (std::vector<Guard>{{key, ModRevision{}}}));
  releases.on_commit_answer(id, {}, time.steady());
  const Transaction retry = releases.mark_sent(id, kLoweredSize);
  EXPECT_LE(retry.puts.front().value.size(), kLoweredBytes);
  EXPECT_EQ(retry.guards, first.guards);
}

}  // namespace
}  // namespace marblevale
