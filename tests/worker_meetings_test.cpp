// A holder and its workers when two troubles meet: machines that are mute or deaf, reports, orders
// and answers that are held up, a block that moves meanwhile, two lives of one node.
#include "holder_fixture.hpp"

namespace marblevale {
namespace {

using testing::HolderTest;
using testing::Script;

class WorkerMeeting : public HolderTest {
 protected:
  [[nodiscard]] MachineState machine_state(const std::string& host = "vm-1") const {
    const auto it = mirror_.records().machines.find(HostId(host));
    return it == mirror_.records().machines.end() ? MachineState::gone : it->second.record.state;
  }

  /// vm-1 answers the orders that wait for it, one after the other, with a newer report.
  void answer_orders(int status, std::uint64_t tenure = 1, const std::string& parts = "") {
    for (; answered_ < workers_.sent.size(); ++answered_) {
      const auto then = workers_.sent[answered_].then;
      then({status, false,
            R"({"host":"vm-1","address":"10.1.0.1:9000","build":"g8","district":"a",)"
            R"("loaners":false,"tenure":)" +
                std::to_string(tenure) + R"(,"tally":)" + std::to_string(++tally_) +
                R"(,"warrant":)" + std::to_string(warrant()) + R"(,"recall_s":null,"parts":[)" +
                parts + "]}"});
    }
  }

  /// vm-1 reports to nobody, but answers orders; vm-2 reports as its times have it.
  void mute_for(Span span, std::uint64_t tenure, const std::string& parts, int status = 200) {
    for (std::int64_t at = 0; at < span.ms; at += 500) {
      if (at % 3000 == 0) hello(1, warrant(), "", "vm-2");
      answer_orders(status, tenure, parts);
      run(Span{500});
    }
  }

  /// A gang that is bound to vm-1, vm-2 and so on in this order.
  void put_bound_gang(std::uint32_t parts, Wall running) {
    JobRecord job{testing::gang("req-1", parts, 1, 100), time_.wall(), std::nullopt};
    store_.put(keys::job(job.spec.uid), encode(job));
    SliceRecord slice;
    slice.uid = job.spec.uid;
    for (std::uint32_t i = 0; i < parts; ++i) {
      TaskRecord task;
      task.state = TaskState::bound;
      task.attempt = Attempt(2);
      task.zone = ZoneId("a");
      task.host = HostId("vm-" + std::to_string(i + 1));
      task.tenure = Tenure(1);
      task.running = running;
      slice.tasks.push_back(task);
    }
    store_.put(keys::slice(slice.uid, 0), encode(slice));
    run(Span{50});
  }

  static std::string item(const std::string& id, const std::string& status,
                          const std::string& cause = "", std::uint64_t attempt = 2) {
    return R"({"part":")" + id + R"(","try":)" + std::to_string(attempt) + R"(,"status":")" +
           status + R"(","cause":")" + cause + R"("})";
  }

  [[nodiscard]] TaskState state_of(std::size_t index) const {
    return mirror_.records().slice(Uid("req-1"), 0)->record.tasks.at(index).state;
  }

  [[nodiscard]] bool told(std::size_t from, const std::string& order) const {
    return std::any_of(workers_.sent.begin() + static_cast<std::ptrdiff_t>(from),
                       workers_.sent.end(),
                       [&](const auto& s) { return s.body.find(order) != std::string::npos; });
  }

  std::size_t answered_ = 0;  // of the orders that were sent
};

// A mute machine reaches no controller, while direct commands reach it.

TEST_F(WorkerMeeting, AnswersToOrdersDoNotMakeAMuteMachineLookHealthy) {
  bind_and_start();
  hello(1, warrant(), "", "vm-2");
  mute_for(Span{12'000}, 1, part("running"));
  EXPECT_EQ(machine_state(), MachineState::silent) << "its lease is not renewed";
  mute_for(Span{9'000}, 1, part("running"));
  EXPECT_EQ(machine_state(), MachineState::silent) << "orders that it answers do not bring it back";
  EXPECT_EQ(task().state, TaskState::bound);
  hello(1, warrant(), part("running"));
  run(Span{600});
  EXPECT_EQ(machine_state(), MachineState::up);
}

TEST_F(WorkerMeeting, NothingIsBoundToAMachineThatHasNotReportedForAWhile) {
  hello(1, warrant());
  run(Span{600});
  ASSERT_EQ(machine_state(), MachineState::up);
  run(Span{8'000});
  ASSERT_EQ(machine_state(), MachineState::up) << "no machine reports: the fault may be ours";
  release();
  run(Span{600});
  EXPECT_EQ(task().state, TaskState::released);
  hello(1, warrant());
  run(Span{600});
  EXPECT_EQ(task().state, TaskState::bound);
}

TEST_F(WorkerMeeting, AMuteMachinesNewSessionIsToldByItsAnswerAndFreesItsTasks) {
  bind_and_start();
  hello(1, warrant(), "", "vm-2");
  mute_for(Span{24'000}, 1, part("running"));
  ASSERT_EQ(task().state, TaskState::bound);
  mute_for(Span{6'000}, 2, "", 409);
  EXPECT_EQ(task().state, TaskState::idle) << "without waiting for its deletion";
  EXPECT_EQ(machine_state(), MachineState::silent);
}

TEST_F(WorkerMeeting, ABlockThatComesUsesItsMachinesAtOnceButForSilentOnes) {
  MachineRecord machine;
  machine.host = HostId("vm-1");
  machine.address = "10.1.0.1:9000";
  machine.build = "g8";
  machine.zone = ZoneId("a");
  store_.put_machine(machine);
  give_block("other", 9);
  give_block("me", 7);
  answer_orders(409);
  run(Span{500});
  answer_orders(200);
  release();
  run(Span{600});
  EXPECT_EQ(task().state, TaskState::bound) << "it has had no time to report";

  give_block("other", 9);
  machine.state = MachineState::silent;
  store_.put_machine(machine);
  give_block("me", 7);
  answer_orders(200);
  run(Span{600});
  answer_orders(200);
  run(Span{600});
  EXPECT_EQ(machine_state(), MachineState::silent) << "it may be mute: it has to report first";
  hello(1, warrant());
  run(Span{600});
  EXPECT_EQ(machine_state(), MachineState::up);
}

// Reports that are held back, old ones, and copies.

TEST_F(WorkerMeeting, AReportThatWasHeldUpDoesNotMakeAMachineDeaf) {
  hello(1, warrant());
  run(Span{30'000});    // cut off, until its lease is over
  hello(1, warrant());  // sent before
  run(Span{1'000});
  hello(2, warrant());
  run(Span{600});
  release();
  run(Span{600});
  EXPECT_EQ(task().state, TaskState::bound) << "nothing shows that it had the late answer";
}

TEST_F(WorkerMeeting, CopiesFromBeforeTheBlockMovedDoNotMakeAMachineDeaf) {
  hello(1, warrant());
  run(Span{600});
  const auto old = warrant();
  give_block("other", 9);
  give_block("me", 7);
  for (int i = 0; i < 5; ++i) {
    hello(1, old);  // held back, and a newer one each time
    run(Span{3'000});
  }
  hello(2, warrant());
  run(Span{600});
  release();
  run(Span{600});
  EXPECT_EQ(task().state, TaskState::bound);
}

TEST(WorkerMeetingProof, AReportOfAnEarlierSessionProvesNothing) {
  TaskRecord task;
  task.state = TaskState::bound;
  task.attempt = Attempt(2);
  task.tenure = Tenure(3);
  Report report;
  report.tenure = Tenure(2);
  report.tally = Tally(900);
  report.warrant = Warrant(10);
  WorkerView view;
  view.take(report);
  EXPECT_EQ(examine({Uid("req-1"), 0}, task, view, Warrant(10)), Finding::absent);
}

// A command or its answer held up for seconds.

TEST_F(WorkerMeeting, AnAnswerToAnOrderSettlesNoStartThatIsInAHeldUpAnswer) {
  bind_and_start();  // the order is on its way, so that the next start goes by an answer
  JobRecord job{testing::gang("req-2", 1, 1, 100), time_.wall(), std::nullopt};
  store_.put(keys::job(job.spec.uid), encode(job));
  SliceRecord slice;
  slice.uid = job.spec.uid;
  slice.tasks.resize(1);
  slice.tasks[0].state = TaskState::released;
  slice.tasks[0].attempt = Attempt(1);
  slice.tasks[0].zone = ZoneId("a");
  slice.tasks[0].host = HostId("vm-1");
  slice.tasks[0].since = time_.wall();
  store_.put(keys::slice(slice.uid, 0), encode(slice));
  run(Span{100});
  const auto state = [&] {
    return mirror_.records().slice(Uid("req-2"), 0)->record.tasks.at(0).state;
  };
  ASSERT_EQ(state(), TaskState::bound);
  ASSERT_NE(hello(1, warrant(), part("running")).body.find("req-2/0"), std::string::npos);
  ASSERT_FALSE(sent("req-2/0"));
  job.cancelled = time_.wall();
  store_.put(keys::job(job.spec.uid), encode(job));
  run(Span{50});
  answer_orders(200, 1, part("running"));  // overtakes the answer that bears the start
  run(Span{600});
  EXPECT_EQ(state(), TaskState::bound) << "the start may still be executed";
  hello(1, warrant(), part("running"));  // it had the answer, or has dropped it
  run(Span{600});
  EXPECT_EQ(state(), TaskState::idle);
}

TEST_F(WorkerMeeting, AStartThatWasAnsweredCanComeAgain) {
  bind_and_start();
  answer_orders(200, 1, part("running"));
  hello(1, warrant(), part("ended", "error"));
  run(Span{50});
  ASSERT_EQ(task().state, TaskState::idle);
  EXPECT_EQ(hello(1, warrant(), part("ended", "error")).body.find("clear"), std::string::npos);
  run(Span{9'000});
  EXPECT_NE(hello(1, warrant(), part("ended", "error")).body.find("clear"), std::string::npos)
      << "a higher warrant has ended that";
}

TEST_F(WorkerMeeting, AStartThatCameTooLateIsKilledOnAMuteMachineToo) {
  bind_and_start();
  hello(1, warrant(), "", "vm-2");
  const auto before = workers_.sent.size();
  mute_for(Span{12'000}, 1, part("running") + "," + item("req-9/0", "running", "", 1));
  EXPECT_TRUE(told(before, R"("verb":"kill","part":"req-9/0")"));
}

// Two lives of one node.

TEST_F(WorkerMeeting, TheBlockOfAnEarlierLifeIsTakenAnewAndItsLateCommitsFail) {
  store_.scripts.assign(50, Script::refuse);
  give_block("me", 6);
  const auto earlier = warrant();
  EXPECT_NE(hello(1, 0).status, 200) << "the earlier life may have commits on their way";
  store_.scripts.clear();
  run(Span{1'000});
  ASSERT_GT(warrant(), earlier);
  EXPECT_EQ(hello(1, earlier).status, 200);
  Txn binding;
  binding.guard(keys::block(ZoneId("a")), Stamp(earlier)).put("mv/slices/req-1/0", "{}");
  Fate fate = Fate::done;
  store_.commit(Rank::binding, binding, [&](const CommitResult& r) { fate = r.fate; });
  EXPECT_EQ(fate, Fate::conflict);
}

// A deaf machine while its block moves.

TEST_F(WorkerMeeting, ADeafMachineWhoseBlockMovesGetsNothingNewAndKeepsItsTasksUntilProof) {
  bind_and_start();
  hello(1, warrant(), part("running"));
  run(Span{100});
  const auto old = warrant();
  give_block("other", 9);
  give_block("me", 7);
  const auto reports = [&](Span span) {
    for (std::int64_t at = 0; at < span.ms; at += 3000) {
      hello(1, old);  // the task has ended and its end is lost, or this is an old report
      hello(1, warrant(), "", "vm-2");
      run(Span{3000});
    }
  };
  reports(Span{12'000});
  EXPECT_EQ(machine_state(), MachineState::silent) << "its answers vanish, its lease will lapse";
  cancel();
  reports(Span{6'000});
  EXPECT_EQ(task().state, TaskState::bound) << "what the last holder sent may still arrive";
  hello(2, old);
  run(Span{100});
  EXPECT_EQ(task().state, TaskState::idle) << "a new session is proof, whatever it has heard";
}

// One done, all done.

TEST_F(WorkerMeeting, AKeptResultOfAGangFreesNoPlaceOfThoseThatStillFetch) {
  hello(1, warrant(), "", "vm-1");
  hello(1, warrant(), "", "vm-2");
  put_bound_gang(2, Wall{});  // started again after its end, which nobody heard of
  hello(1, warrant(), item("req-1/0", "ended", "done"), "vm-1");
  hello(1, warrant(), item("req-1/1", "fetching"), "vm-2");
  run(Span{3'000});
  EXPECT_EQ(state_of(0), TaskState::done);
  EXPECT_EQ(state_of(1), TaskState::bound) << "it will be on its machine for a moment yet";
  hello(1, warrant(), item("req-1/1", "ended", "done"), "vm-2");
  run(Span{500});
  EXPECT_TRUE(store_.get(keys::final_job(Uid("req-1"))));
}

TEST_F(WorkerMeeting, AGangWhoseRestIsLostAfterItsEndIsDone) {
  hello(1, warrant(), "", "vm-1");
  hello(1, warrant(), "", "vm-2");
  put_bound_gang(2, Wall{});
  hello(1, warrant(), item("req-1/0", "ended", "done"), "vm-1");
  run(Span{3'000});
  hello(2, warrant(), "", "vm-2");
  run(Span{500});
  EXPECT_TRUE(store_.get(keys::final_job(Uid("req-1"))));
}

TEST_F(WorkerMeeting, AGangThatRanIsDoneWithTheFirstOfItsTasks) {
  hello(1, warrant(), "", "vm-1");
  hello(1, warrant(), "", "vm-2");
  put_bound_gang(2, time_.wall());
  hello(1, warrant(), item("req-1/0", "ended", "done"), "vm-1");
  run(Span{100});
  EXPECT_TRUE(store_.get(keys::final_job(Uid("req-1"))));
}

}  // namespace
}  // namespace marblevale
