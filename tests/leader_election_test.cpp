// Election of the leader: candidacy, lease expiry, and commits of an earlier incarnation of the
// process.
#include "support/leader_loop_fixture.hpp"

namespace marblevale {
namespace {

using testing::Script;

class LeaderElectionTest : public testing::LeaderLoopTest {};

TEST_F(LeaderElectionTest, LeadershipOfAnEarlierIncarnationIsTakenOverAtOnce) {
  put_leader("me", 3);
  begin();
  EXPECT_TRUE(election_.is_established_leader());
}

TEST_F(LeaderElectionTest, AnotherLeaderStaysUntilItsRecordIsGone) {
  put_leader("other", 3);
  begin();
  run(Duration{3000});
  EXPECT_FALSE(election_.is_established_leader());
  store_.remove(keys::kLeader);
  run(Duration{500});
  EXPECT_TRUE(election_.is_established_leader());
}

TEST_F(LeaderElectionTest, TheOnlyControllerOfAZoneDelaysItsCandidacy) {
  settings_.peers = {{NodeId("n1"), ZoneId("b"), {}}, {NodeId("n2"), ZoneId("b"), {}}};
  begin();
  run(Duration{200});
  EXPECT_FALSE(election_.is_established_leader());
  run(Duration{1000});
  EXPECT_TRUE(election_.is_established_leader()) << "nobody else did";
}

TEST_F(LeaderElectionTest, LeaseExpiryEndsLeadership) {
  begin();
  ASSERT_TRUE(election_.is_established_leader());
  store_.expire_lease(LeaseId(1));
  run(Duration{1500});
  // The session lease is a new one, and the leader record still names this controller.
  EXPECT_NE(election_.term(), ModRevision{});
  put_leader("other", 3);
  run(Duration{500});
  EXPECT_FALSE(election_.is_established_leader());
}

// A process restarts within a fraction of a second during an election, while a commit of its
// earlier incarnation is still in flight. Executed late, the commit must not replace the leader
// record.
TEST_F(LeaderElectionTest, ADelayedCommitOfAnEarlierIncarnationDoesNotEndTheTerm) {
  Transaction candidacy;
  candidacy.guard(keys::kLeader, ModRevision{});
  candidacy.put(keys::kLeader, encode(LeaderRecord{NodeId("me"), ProcessIncarnation(3)}));
  store_.scripts = {Script::delay};
  store_.commit(RequestPriority::lease, candidacy, [](const CommitResult&) {});
  ASSERT_EQ(store_.delayed.size(), 1U);
  begin();
  run(Duration{500});
  ASSERT_TRUE(election_.is_established_leader());
  const ModRevision term = election_.term();
  EXPECT_EQ(store_.apply_delayed().outcome, Outcome::conflict);
  run(Duration{1000});
  EXPECT_EQ(election_.term(), term);
}

TEST_F(LeaderElectionTest, AnEarlierIncarnationElectedLateIsReplacedByTheCurrentOne) {
  // The earlier incarnation's commit is executed while the current incarnation is a candidate.
  store_.scripts = {Script::refuse, Script::refuse, Script::refuse};
  begin();
  put_leader("me", 3);
  store_.put(keys::node(NodeId("me")),
             encode(NodeRecord{NodeId("me"), ProcessIncarnation(3), LeaseId(1)}));
  run(Duration{3000});
  EXPECT_TRUE(election_.is_established_leader());
  LeaderRecord leader = cache_.records().leader->record;
  EXPECT_EQ(leader.incarnation, ProcessIncarnation(7));
  EXPECT_TRUE(cache_.records().alive(NodeId("me"), ProcessIncarnation(7)));
}

}  // namespace
}  // namespace marblevale
