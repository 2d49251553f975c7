// Machines that hear nothing, copies of reports that come late, controllers that are cut off, and
// releases that are offered straight to a holder.
#include "holder_fixture.hpp"

namespace marblevale {
namespace {

using testing::HolderTest;
using testing::Script;

class Troubles : public HolderTest {
 protected:
  [[nodiscard]] MachineState machine_state(const std::string& host = "vm-1") const {
    const auto it = mirror_.records().machines.find(HostId(host));
    return it == mirror_.records().machines.end() ? MachineState::gone : it->second.record.state;
  }
  /// Reports as its times have it, each of which is answered.
  void report_for(Span span, std::uint64_t tenure, const std::string& parts = "") {
    for (std::int64_t at = 0; at < span.ms; at += 3000) {
      hello(tenure, warrant(), parts);
      run(Span{3000});
    }
  }
  void answer_direct(int status) {
    auto sent = workers_.sent.back();
    sent.then({status, false,
               R"({"host":"vm-1","address":"10.1.0.1:9000","build":"g8","district":"a",)"
               R"("loaners":false,"tenure":1,"tally":)" +
                   std::to_string(++tally_) + R"(,"warrant":)" + std::to_string(warrant()) +
                   R"(,"recall_s":null,"parts":[]})"});
    run(Span{50});
  }
};

TEST_F(Troubles, NothingIsBoundToAMachineThatHasNotShownThatItHears) {
  EXPECT_EQ(hello(1, 0).status, 200);
  release();
  run(Span{500});
  EXPECT_EQ(task().state, TaskState::released);
  ASSERT_FALSE(workers_.sent.empty()) << "it is told who speaks for its block";
  answer_direct(200);
  hello(1, warrant());
  run(Span{600});
  EXPECT_EQ(task().state, TaskState::bound);
}

TEST_F(Troubles, AMachineThatReportsButHearsNothingIsGivenUpWithoutFreeingItsTasks) {
  bind_and_start();
  report_for(Span{12'000}, 1);  // the start does not show in any of its reports
  EXPECT_EQ(machine_state(), MachineState::silent);
  EXPECT_EQ(task().state, TaskState::bound) << "its silence about the task proves nothing";
  report_for(Span{9'000}, 1);
  EXPECT_EQ(machine_state(), MachineState::silent) << "reports alone do not bring it back";
  // Its lease has lapsed, as it had to: that is the proof.
  hello(2, warrant());
  run(Span{100});
  EXPECT_EQ(task().state, TaskState::idle);
  EXPECT_EQ(machine_state(), MachineState::silent);
}

TEST_F(Troubles, ALeaseThatLapsesUnderAnsweredReportsTellsADeafMachine) {
  hello(1, warrant());
  run(Span{100});
  ASSERT_EQ(machine_state(), MachineState::up);
  report_for(Span{24'000}, 1);
  hello(2, warrant());
  run(Span{600});
  EXPECT_EQ(machine_state(), MachineState::silent);
  release();
  run(Span{600});
  EXPECT_EQ(task().state, TaskState::released);
  // Once an order has reached it, it is as good as any.
  run(Span{2'500});
  answer_direct(200);
  hello(2, warrant());
  run(Span{100});
  EXPECT_EQ(machine_state(), MachineState::up);
}

TEST_F(Troubles, ALateCopyProvesNothingToAHolderThatHasJustBegun) {
  bind_and_start();
  hello(1, warrant(), part("running"));
  run(Span{100});
  const auto old = warrant();
  give_block("other", 9);
  give_block("me", 7);  // it knows nothing of the worker any more
  ASSERT_GT(warrant(), old);
  hello(1, old);  // a copy from before the task had started
  run(Span{200});
  EXPECT_EQ(task().state, TaskState::bound);
  hello(1, warrant(), part("running"));
  run(Span{200});
  EXPECT_EQ(task().state, TaskState::bound);
}

TEST_F(Troubles, ALateCopyMakesNoMachineAliveAgain) {
  hello(1, warrant());
  run(Span{100});
  const auto last = tally_;
  const auto others_report = [this](Span span) {
    for (std::int64_t at = 0; at < span.ms; at += 3000) {
      hello(1, warrant(), "", "vm-2");
      run(Span{3000});
    }
  };
  others_report(Span{12'000});
  ASSERT_EQ(machine_state(), MachineState::silent);
  const auto now = tally_;
  tally_ = last - 1;
  hello(1, warrant());  // the same report once more
  tally_ = now;
  run(Span{100});
  EXPECT_EQ(machine_state(), MachineState::silent) << "known to this holder";
  const auto old = warrant();
  give_block("other", 9);
  give_block("me", 7);
  hello(1, old);
  run(Span{100});
  EXPECT_EQ(machine_state(), MachineState::silent) << "sent under an earlier warrant";
  hello(1, warrant());
  run(Span{100});
  EXPECT_EQ(machine_state(), MachineState::up);
}

TEST_F(Troubles, ALateCopyNeitherAdoptsNorBringsBackAMachine) {
  hello(1, warrant() - 1, "", "vm-7");  // deleted long ago, and its record with it
  run(Span{1000});
  EXPECT_FALSE(mirror_.records().machines.contains(HostId("vm-7")));
  MachineRecord machine;
  machine.host = HostId("vm-8");
  machine.zone = ZoneId("a");
  machine.build = "g8";
  machine.state = MachineState::gone;
  store_.put_machine(machine);
  run(Span{50});
  hello(1, warrant(), "", "vm-8");
  run(Span{1000});
  EXPECT_EQ(machine_state("vm-8"), MachineState::gone);
}

TEST_F(Troubles, AControllerThatIsCutOffGivesWayAsSoonAsAWorkerHasHeardAnother) {
  hello(1, warrant());
  informed_ = false;  // neither the state service nor a peer reaches it
  const auto ours = warrant();
  store_.put(keys::block(ZoneId("a")),
             encode(BlockRecord{ZoneId("a"), NodeId("other"), Nonce(9), 2}));
  run(Span{1000});
  EXPECT_EQ(hello(1, ours).status, 200) << "it may still be the holder, for all it knows";
  // The new holder has introduced itself by a direct order: a 200 would be dropped, and the worker
  // would stay here until its lease is over.
  EXPECT_EQ(hello(1, warrant()).status, 421);
}

class OfferTest : public Troubles {
 protected:
  /// A job of one task that nobody has released yet, and the leader's offer for it.
  ReleaseOffer offered() {
    store_.put(keys::kLeader, encode(LeaderRecord{NodeId("boss"), Nonce(1)}));
    JobRecord job;
    job.spec = testing::gang("req-1", 1, 1, 100);
    job.accepted = time_.wall();
    store_.put(keys::job(job.spec.uid), encode(job));
    hello(1, warrant());
    run(Span{100});
    ReleaseOffer offer;
    offer.term = store_.get(keys::kLeader)->stamp.get();
    offer.uid = "req-1";
    offer.revision = mirror_.revision().get();
    offer.tasks = {{0, 1, "a", "vm-1"}};
    return offer;
  }
};

TEST_F(OfferTest, IsBoundInOneCommitAndThenStarted) {
  const auto offer = offered();
  const auto before = store_.commits.size();
  EXPECT_TRUE(holder_.take(offer));
  EXPECT_EQ(store_.commits.size(), before + 1);
  EXPECT_EQ(task().state, TaskState::bound);
  run(Span{50});
  EXPECT_TRUE(sent("start"));
  EXPECT_FALSE(holder_.take(offer)) << "a copy finds the slice changed";
}

TEST_F(OfferTest, WaitsForWhatTheLeaderKnew) {
  auto offer = offered();
  offer.revision += 1;
  EXPECT_TRUE(holder_.take(offer));
  EXPECT_FALSE(store_.get(keys::slice(Uid("req-1"), 0)));
  store_.put("mv/grants/req-9", encode(GrantRecord{Uid("req-9"), {}, {}}));
  run(Span{600});
  EXPECT_EQ(task().state, TaskState::bound);
}

TEST_F(OfferTest, ABindingThatArrivesAfterAChangeOfLeaderFails) {
  const auto offer = offered();
  store_.scripts = {Script::arrive_late};
  holder_.take(offer);
  ASSERT_EQ(store_.late.size(), 1U);
  store_.put(keys::kLeader, encode(LeaderRecord{NodeId("other"), Nonce(2)}));
  EXPECT_EQ(store_.arrive().fate, Fate::conflict);
  run(Span{100});
  EXPECT_FALSE(holder_.take(offer)) << "the offer is of an earlier term";
}

TEST_F(OfferTest, IsDeclinedWhereItCannotBeBoundWhole) {
  auto offer = offered();
  offer.tasks[0].host = "vm-9";
  offer.tasks[0].zone = "b";
  EXPECT_FALSE(holder_.take(offer)) << "another's block";
  offer = offered();
  cancel();
  run(Span{50});
  EXPECT_FALSE(holder_.take(offer));
  EXPECT_FALSE(decode_offer("nonsense"));
  EXPECT_EQ(decode_offer(encode(offer))->tasks.at(0).host, "vm-1");
}

}  // namespace
}  // namespace marblevale
