// Offers of the leader to a shard holder: bound in one commit, declined, duplicated or delayed.
#include "support/shard_holder_fixture.hpp"

namespace marblevale {
namespace {

using testing::Script;

class ShardHolderOfferTest : public testing::ShardHolderTest {
 protected:
  /// Creates a job of one task that is not released yet, and returns the leader's offer for it.
  ReleaseOffer make_offer() {
    put_leader("boss", 1);
    const JobSpec job = testing::gang("req-1", 1, 1, 100);
    put_job(store_, job, time_.wall());
    handle_heartbeat(1, token());
    run(Duration{100});
    ReleaseOffer offer;
    offer.term = store_.get(keys::kLeader)->mod_revision.get();
    offer.job_id = "req-1";
    offer.cache_revision = cache_.revision().get();
    offer.tasks = {{0, 1, "a", "vm-1"}};
    offer.sequence = ++last_sequence_;
    offer.holder_incarnation = 7;
    offer.job_revision = store_.get(keys::job(job.job_id))->mod_revision.get();
    return offer;
  }

 private:
  std::uint64_t last_sequence_ = 0;
};

TEST_F(ShardHolderOfferTest, AnOfferIsBoundInOneCommitAndThenStarted) {
  const auto offer = make_offer();
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

TEST_F(ShardHolderOfferTest, AnOfferWaitsUntilTheCacheHasTheLeadersRevision) {
  auto offer = make_offer();
  offer.cache_revision += 1;
  EXPECT_EQ(holder_.answer_offer(offer), OfferAnswer::accepted);
  EXPECT_FALSE(store_.get(keys::slice(JobId("req-1"), 0)));
  store_.put("mv/grants/req-9",
             encode(GuaranteeRecord{JobId("req-9"), {}, {}}, testing::kValueBytes));
  run(Duration{600});
  EXPECT_EQ(task().state, TaskState::bound);
}

TEST_F(ShardHolderOfferTest, ABindingDelayedPastAFailoverFails) {
  const auto offer = make_offer();
  store_.scripts = {Script::delay};
  holder_.answer_offer(offer);
  ASSERT_EQ(store_.delayed.size(), 1U);
  put_leader("other", 2);
  EXPECT_EQ(store_.apply_delayed().outcome, Outcome::conflict);
  run(Duration{100});
  EXPECT_EQ(holder_.answer_offer(offer), OfferAnswer::declined)
      << "the offer is of an earlier term";
}

TEST_F(ShardHolderOfferTest, AnOfferThatCannotBeBoundCompletelyIsDeclined) {
  auto offer = make_offer();
  offer.tasks[0].machine_id = "vm-9";
  offer.tasks[0].zone = "b";
  EXPECT_EQ(holder_.answer_offer(offer), OfferAnswer::declined) << "another holder's shard";
  offer = make_offer();
  cancel();
  run(Duration{50});
  EXPECT_EQ(holder_.answer_offer(offer), OfferAnswer::declined);
  offer = make_offer();
  offer.holder_incarnation = 6;
  const auto commits = store_.commits.size();
  EXPECT_EQ(holder_.answer_offer(offer), OfferAnswer::accepted)
      << "an earlier incarnation, for which it is, may have taken it";
  run(Duration{3'000});
  EXPECT_EQ(store_.commits.size(), commits) << "but it is not bound";
  offer = make_offer();
  --offer.job_revision;
  EXPECT_EQ(holder_.answer_offer(offer), OfferAnswer::declined) << "the job has changed";
  EXPECT_FALSE(decode_offer("nonsense"));
  EXPECT_EQ(decode_offer(encode(offer))->tasks.at(0).machine_id, "vm-1");
}

// Guards against two jobs that are bound to the same capacity. If the duplicate were declined while
// the commit of the first delivery is in flight, the leader would give the capacity to another job,
// and both jobs would be bound.
TEST_F(ShardHolderOfferTest, ADuplicateIsNotDeclinedWhileTheOfferIsBeingBound) {
  const auto offer = make_offer();
  store_.scripts = {Script::delay};
  EXPECT_EQ(holder_.answer_offer(offer), OfferAnswer::accepted);
  EXPECT_EQ(holder_.answer_offer(offer), OfferAnswer::accepted);
  ASSERT_EQ(store_.delayed.size(), 1U) << "and it is committed once";
  EXPECT_EQ(store_.apply_delayed().outcome, Outcome::done);
}

// Guards against the binding of an offer that was declined before. The leader immediately gives the
// capacity of a declined offer to another job. A duplicate must not be bound when the reason for
// declining no longer applies, even if the leader, the job and the slice are unchanged.
TEST_F(ShardHolderOfferTest, ADuplicateOfADeclinedOfferIsNotBound) {
  auto offer = make_offer();
  offer.tasks[0].machine_id = "vm-2";
  // vm-1 has a task of another job, so it cannot substitute for vm-2, which has not sent a
  // heartbeat.
  JobRecord other_job;
  other_job.spec = testing::gang("req-9", 1, 1, 100);
  store_.put(keys::job(other_job.spec.job_id), encode(other_job));
  SliceRecord slice;
  slice.job_id = other_job.spec.job_id;
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
  // The capacity of the first offer, which is the team's entire limit, goes to another job.
  const JobSpec other = testing::gang("req-2", 1, 1, 100);
  put_job(store_, other, time_.wall());
  run(Duration{50});
  ReleaseOffer second = offer;
  second.job_id = "req-2";
  second.sequence = offer.sequence + 1;
  second.job_revision = store_.get(keys::job(other.job_id))->mod_revision.get();
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
