// Release offers to a shard holder. An offer counts against the team's quota until it is settled,
// whatever the holder answers and whenever the answer arrives.
#include "support/leader_loop_fixture.hpp"

namespace marblevale {
namespace {

using testing::LeaderLoopTest;
using testing::Script;

/// Records the offers. Answers each with `answer`, or stores its callback in `unanswered` while
/// `answer` is not set.
class ScriptedChannel : public OfferChannel {
 public:
  void offer(const NodeId& holder, const ReleaseOffer& offer,
             std::function<void(OfferOutcome)> then) override {
    offers.push_back(offer);
    EXPECT_EQ(holder, NodeId("other"));
    if (answer) {
      then(*answer);
    } else {
      unanswered.push_back(std::move(then));
    }
  }
  std::vector<ReleaseOffer> offers;
  std::vector<std::function<void(OfferOutcome)>> unanswered;
  std::optional<OfferOutcome> answer;
};

class ReleaseOfferTest : public LeaderLoopTest {
 protected:
  void begin_offering() {
    machine("vm-1");
    store_.put(keys::node(NodeId("other")),
               encode(NodeRecord{NodeId("other"), ProcessIncarnation(5), LeaseId(9)}));
    put_shard("a", "other", 5);
    leader_loop_.offer_releases_through(channel_);
    begin();
  }
  void submit_urgent(const std::string& job_id, double gpus) {
    JobSpec spec = testing::gang(job_id, 1, gpus, 60);
    spec.urgency = Urgency::urgent;
    submit(spec);
  }

  /// Commits the holder's binding of the offer, with the guards that the offer names.
  void bind_late(const ReleaseOffer& offer, const TaskRecord& task) {
    SliceRecord slice;
    slice.job_id = JobId(offer.job_id);
    slice.tasks = {task};
    const std::string key = keys::slice(slice.job_id, 0);
    Transaction txn;
    txn.guard(keys::kLeader, ModRevision(offer.term));
    txn.guard(key, ModRevision(offer.slice_revision));
    txn.put(key, encode(slice));
    store_.commit(RequestPriority::binding, txn, [](const CommitResult&) {});
  }

  /// Binds all offers for the job.
  void bind_offers_for(const std::string& job_id) {
    for (const ReleaseOffer& offer : channel_.offers) {
      if (offer.job_id == job_id) bind_late(offer, bound("vm-1"));
    }
  }

  ScriptedChannel channel_;
};

TEST_F(ReleaseOfferTest, AnOfferCountsAgainstTheLimitUntilResolved) {
  begin_offering();
  submit(testing::gang("req-1", 1, 2, 60));
  run(Duration{200});
  ASSERT_EQ(channel_.offers.size(), 1U);
  EXPECT_EQ(channel_.offers[0].term, election_.term().get());
  EXPECT_TRUE(tasks("req-1").empty()) << "nothing is committed by the leader yet";
  // The holder does not answer, and the state service refuses the leader's commits. The holder may
  // still bind the offer.
  submit(testing::gang("req-2", 1, 1, 30));
  store_.scripts.assign(300, Script::refuse);
  run(Duration{4000});
  EXPECT_TRUE(tasks("req-2").empty());
  for (const auto& offer : channel_.offers) EXPECT_NE(offer.job_id, "req-2");
  store_.scripts.clear();
  run(Duration{5000});
  ASSERT_EQ(tasks("req-1").size(), 1U);
  EXPECT_EQ(tasks("req-1").at(0).state, TaskState::released) << "by the ordinary way";
}

TEST_F(ReleaseOfferTest, ABindingResolvesItsOffer) {
  begin_offering();
  submit(testing::gang("req-1", 1, 1, 60));
  run(Duration{200});
  ASSERT_EQ(channel_.offers.size(), 1U);
  set_task("req-1", bound("vm-1"));
  run(Duration{4000});
  EXPECT_EQ(tasks("req-1").at(0).state, TaskState::bound) << "and is not released again";
  EXPECT_EQ(channel_.offers.size(), 1U);
}

// Guards against more offers than a holder can bind. In one case 959 offers in 30 s timed out
// because their holders had no write budget left, and the leader's own releases cost as many writes
// again.
TEST_F(ReleaseOfferTest, OffersInFlightToAHolderAreBounded) {
  settings_.teams[0].max_gpus = 1000;
  for (int i = 0; i < 10; ++i) machine("vm-" + std::to_string(10 + i));
  begin_offering();
  for (int i = 0; i < 40; ++i) submit(testing::gang("req-" + std::to_string(i), 1, 1, 60));
  run(Duration{3000});
  EXPECT_EQ(channel_.offers.size(), 10U) << "none of them is settled";
  const std::string first = channel_.offers[0].job_id;
  TaskRecord task = bound(channel_.offers[0].tasks.at(0).machine_id);
  set_task(first, task);
  run(Duration{300});
  EXPECT_EQ(channel_.offers.size(), 11U) << "one was bound, and the next has its turn";
}

TEST_F(ReleaseOfferTest, ADeclinedOfferIsReplanned) {
  channel_.answer = OfferOutcome::declined;
  begin_offering();
  submit(testing::gang("req-1", 1, 1, 60));
  run(Duration{3000});
  EXPECT_GT(channel_.offers.size(), 2U);
  EXPECT_LT(channel_.offers.size(), 12U) << "not at once";
  EXPECT_TRUE(tasks("req-1").empty());
}

// An answer belongs to one offer. A late decline must not settle a later offer for the same slice,
// which the holder may still bind.
TEST_F(ReleaseOfferTest, ADelayedDeclineDoesNotResolveALaterOffer) {
  begin_offering();
  submit(testing::gang("req-1", 1, 2, 60));
  run(Duration{200});
  ASSERT_EQ(channel_.offers.size(), 1U);
  TaskRecord ended;
  ended.attempt = Attempt(1);
  ended.since = time_.wall();
  set_task("req-1", ended);
  run(Duration{200});
  ASSERT_EQ(channel_.offers.size(), 2U) << "the first attempt was bound and has ended";
  channel_.unanswered.at(0)(OfferOutcome::declined);
  submit_urgent("req-2", 1);
  run(Duration{1000});
  bind_offers_for("req-2");
  TaskRecord task = bound("vm-1");
  task.attempt = Attempt(2);
  bind_late(channel_.offers[1], task);
  run(Duration{100});
  EXPECT_LE(gpus_in_use({{"req-1", 2}, {"req-2", 1}}), 2);
}

// The holder did not answer in time, so the leader committed the release itself and got no answer
// either. The holder's late decline must not settle this commit.
TEST_F(ReleaseOfferTest, ADeclineDoesNotResolveTheCommitThatFollowedTheOffer) {
  begin_offering();
  submit(testing::gang("req-1", 1, 2, 60));
  std::deque<Script> delay_then_refuse(60, Script::refuse);
  delay_then_refuse.push_front(Script::delay);
  store_.key_scripts[keys::slice(JobId("req-1"), 0)] = delay_then_refuse;
  run(Duration{4500});
  ASSERT_EQ(store_.delayed.size(), 1U) << "the leader's own commit";
  channel_.unanswered.at(0)(OfferOutcome::declined);
  submit_urgent("req-2", 1);
  run(Duration{3000});
  bind_offers_for("req-2");
  store_.apply_delayed();
  run(Duration{100});
  EXPECT_LE(gpus_in_use({{"req-1", 2}, {"req-2", 1}}), 2);
}

}  // namespace
}  // namespace marblevale
