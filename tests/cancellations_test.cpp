// The cancellations that a controller lists, and the time up to which its peers' lists prove that
// it knows every cancellation.
#include "cancellations/cancellations.hpp"

#include "peers/peer_heartbeat.hpp"
#include "support/shard_holder_fixture.hpp"

namespace marblevale {
namespace {

using testing::ShardHolderTest;

PeerCancellationList peer_list(SteadyTime requested_at, WallTime requested_at_wall,
                               WallTime started_at, WallTime fresh_until) {
  PeerCancellationList out{requested_at, requested_at_wall, {}};
  out.list.started_ms = unix_milliseconds(started_at);
  out.list.fresh_until_ms = unix_milliseconds(fresh_until);
  out.list.complete = true;
  return out;
}

class CancellationFreshnessTest : public ::testing::Test {
 protected:
  // Two peers that started long ago. This controller's records are fresh until 10 s, theirs until
  // 12 s.
  std::vector<std::optional<PeerCancellationList>> peer_lists_{
      peer_list(SteadyTime{Duration{14'000}}, WallTime{Duration{14'000}}, WallTime{Duration{1'000}},
                WallTime{Duration{12'000}}),
      peer_list(SteadyTime{Duration{14'500}}, WallTime{Duration{14'500}}, WallTime{Duration{2'000}},
                WallTime{Duration{12'000}})};
  std::optional<SteadyTime> fresh_until() {
    return cancellation_freshness_.fresh_until(SteadyTime{Duration{15'000}},
                                               WallTime{Duration{15'000}},
                                               WallTime{Duration{10'000}}, peer_lists_);
  }
  CancellationFreshness cancellation_freshness_{Duration{50}};
};

TEST_F(CancellationFreshnessTest, IsFreshUntilTheEarliestRequest) {
  EXPECT_EQ(fresh_until(), SteadyTime{Duration{14'000}});
}

TEST_F(CancellationFreshnessTest, ASilentPeerOrATruncatedListEndsFreshness) {
  peer_lists_[1]->list.complete = false;
  EXPECT_FALSE(fresh_until());
  peer_lists_[1].reset();
  EXPECT_FALSE(fresh_until());
}

TEST_F(CancellationFreshnessTest, ARestartedPeerDoesNotKnowWhatItsEarlierIncarnationConfirmed) {
  peer_lists_[1]->list.started_ms = 13'000;
  EXPECT_FALSE(fresh_until());
  // Once the records of any controller are fresh beyond the peer's start, they contain what its
  // earlier incarnation confirmed.
  peer_lists_[0]->list.fresh_until_ms = 13'200;
  EXPECT_FALSE(fresh_until()) << "each of the two clocks may be off against ours";
  peer_lists_[0]->list.fresh_until_ms = 13'201;
  EXPECT_TRUE(fresh_until());
}

TEST_F(CancellationFreshnessTest, FreshnessContinuesWhileAllPeersAnswer) {
  ASSERT_TRUE(fresh_until());
  // The second peer restarts. The lists suffice only if it started before the time up to which all
  // cancellations were known.
  peer_lists_[0]->requested_at = SteadyTime{Duration{15'000}};
  peer_lists_[1]->requested_at = SteadyTime{Duration{15'000}};
  peer_lists_[1]->list.started_ms = 13'800;
  EXPECT_TRUE(fresh_until()) << "nothing was confirmed beyond our knowledge before it began";
  peer_lists_[1]->list.started_ms = 14'600;
  EXPECT_FALSE(fresh_until());
}

TEST_F(CancellationFreshnessTest, AControllerWithoutPeersKnowsAllCancellations) {
  peer_lists_.clear();
  EXPECT_EQ(fresh_until(), SteadyTime{Duration{15'000}});
}

class CancellationsTest : public ShardHolderTest {
 protected:
  [[nodiscard]] bool listed(const std::string& job_id) {
    const auto list = cancellations_.list();
    return std::any_of(list.items.begin(), list.items.end(),
                       [&](const auto& item) { return item.job_id == job_id; });
  }
};

TEST_F(CancellationsTest, ListsStoredAndConfirmedCancellationsUntilTheRecordsAreNewer) {
  release();
  cancel();
  EXPECT_FALSE(listed("req-1"));
  run(Duration{20});
  EXPECT_TRUE(listed("req-1"));
  cancellations_.add_confirmed(JobId("req-5"), time_.wall());
  EXPECT_TRUE(listed("req-5"));
  EXPECT_EQ(cancellations_.cancelled_at(JobId("req-5")), time_.wall());
  run(Duration{1'000});
  EXPECT_FALSE(listed("req-5")) << "fresher records lack it: it is over";
}

TEST_F(CancellationsTest, AConfirmedCancellationNotifiesOnce) {
  int notified = 0;
  cancellations_.on_confirmed([&] { ++notified; });
  release();
  cancel();
  run(Duration{20});
  for (int i = 0; i < 3; ++i) cancellations_.add_confirmed(JobId("req-1"), time_.wall());
  EXPECT_EQ(notified, 1);
}

TEST_F(CancellationsTest, ATruncatedListIsMarkedIncomplete) {
  EXPECT_TRUE(cancellations_.list().complete);
  CancellationList long_list;
  for (std::size_t i = 0; i < Cancellations::kMaxListed + 1; ++i) {
    long_list.items.push_back({"req-" + std::to_string(100'000 + i), 1});
  }
  cancellations_.merge_peer_list(long_list);
  EXPECT_FALSE(cancellations_.list().complete);
  EXPECT_LE(cancellations_.list().items.size(), Cancellations::kMaxListed);
  PeerHeartbeat heartbeat;
  heartbeat.cancellations = cancellations_.list();
  EXPECT_TRUE(decode_peer_heartbeat(encode(heartbeat))) << "the longest list fits into a message";
  EXPECT_TRUE(cancellations_.is_complete());
  for (std::size_t i = 0; i < Cancellations::kMaxUnrecorded; ++i) {
    long_list.items.push_back({"req-" + std::to_string(200'000 + i), 1});
  }
  watch_answers_ = false;
  cancellations_.merge_peer_list(long_list);
  EXPECT_FALSE(cancellations_.is_complete());
  watch_answers_ = true;
  run(Duration{1'000});
  EXPECT_TRUE(cancellations_.is_complete()) << "the records are fresher again";
}

TEST_F(CancellationsTest, InvalidEntriesAreIgnored) {
  CancellationList list;
  list.items = {{"", 1}, {"x y", 1}, {"req-7", unix_milliseconds(time_.wall()) + 1'000'000}};
  cancellations_.merge_peer_list(list);
  EXPECT_EQ(cancellations_.list().items.size(), 1U);
  EXPECT_EQ(cancellations_.cancelled_at(JobId("req-7")), time_.wall()) << "never in the future";
}

}  // namespace
}  // namespace marblevale
