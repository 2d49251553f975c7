// Cancellations while the state service is out of reach: what controllers tell one another, when
// they vouch for one another, and how a cancelled task ends in time all the same.
#include <cmath>

#include "cancellations/cancellations.hpp"
#include "peers/peer_heartbeat.hpp"
#include "support/shard_holder_fixture.hpp"

namespace marblevale {
namespace {

using testing::Script;
using testing::ShardHolderTest;

PeerCancellationList word(SteadyTime asked, WallTime asked_wall, WallTime began, WallTime fresh) {
  PeerCancellationList out{asked, asked_wall, {}};
  out.list.started_ms = unix_milliseconds(began);
  out.list.fresh_until_ms = unix_milliseconds(fresh);
  out.list.complete = true;
  return out;
}

class VouchingTest : public ::testing::Test {
 protected:
  // Two peers that began long ago; our records are fresh up to 10 s, theirs up to 12 s.
  std::vector<std::optional<PeerCancellationList>> words_{
      word(SteadyTime{Duration{14'000}}, WallTime{Duration{14'000}}, WallTime{Duration{1'000}},
           WallTime{Duration{12'000}}),
      word(SteadyTime{Duration{14'500}}, WallTime{Duration{14'500}}, WallTime{Duration{2'000}},
           WallTime{Duration{12'000}})};
  std::optional<SteadyTime> until() {
    return cancellation_freshness_.fresh_until(SteadyTime{Duration{15'000}},
                                               WallTime{Duration{15'000}},
                                               WallTime{Duration{10'000}}, words_);
  }
  CancellationFreshness cancellation_freshness_{Duration{50}};
};

TEST_F(VouchingTest, CountsFromTheQuestionThatWasSentFirst) {
  EXPECT_EQ(until(), SteadyTime{Duration{14'000}});
}

TEST_F(VouchingTest, OnePeerThatIsSilentOrCutItsListIsEnoughToDenyIt) {
  words_[1]->list.complete = false;
  EXPECT_FALSE(until());
  words_[1].reset();
  EXPECT_FALSE(until());
}

TEST_F(VouchingTest, ALifeThatBeganSinceCannotTellWhatTheOneBeforeHasConfirmed) {
  words_[1]->list.started_ms = 13'000;
  EXPECT_FALSE(until());
  // Once anybody's records reach beyond its beginning, what its earlier life confirmed is listed.
  words_[0]->list.fresh_until_ms = 13'200;
  EXPECT_FALSE(until()) << "each of the two clocks may be off against ours";
  words_[0]->list.fresh_until_ms = 13'201;
  EXPECT_TRUE(until());
}

TEST_F(VouchingTest, GoesOnFromRoundToRoundAsLongAsAllAnswer) {
  ASSERT_TRUE(until());
  // The second peer restarts after what all had vouched for: not known any more from then on.
  words_[0]->requested_at = SteadyTime{Duration{15'000}};
  words_[1]->requested_at = SteadyTime{Duration{15'000}};
  words_[1]->list.started_ms = 13'800;
  EXPECT_TRUE(until()) << "nothing was confirmed beyond our knowledge before it began";
  words_[1]->list.started_ms = 14'600;
  EXPECT_FALSE(until());
}

TEST_F(VouchingTest, AControllerWithoutPeersKnowsAllItHasConfirmed) {
  words_.clear();
  EXPECT_EQ(until(), SteadyTime{Duration{15'000}});
}

/// A worker by the protocol: its lease, its epoch, its tasks; what it does with a `kill` is up to
/// the test. It is asked to heartbeat once a second of the fake time.
class Worker {
 public:
  explicit Worker(std::string machine_id, std::string task) : machine_id_(std::move(machine_id)) {
    tasks_.push_back(std::move(task));
  }

  void heartbeat(ShardHolder& holder, SteadyTime now, Duration lease, std::uint64_t& sequence) {
    if (now - answered_ > lease) {
      tasks_.clear();
      ++session_;
      answered_ = now;
    }
    if (hangs) return;
    std::string parts;
    for (const auto& task : tasks_) {
      parts +=
          (parts.empty() ? "" : ",") + (R"({"part":")" + task + R"(","try":1,"status":"running"})");
    }
    const HeartbeatReply answer = holder.handle_heartbeat(
        R"({"host":")" + machine_id_ + R"(","address":"10.1.0.1:9000","build":"g8",)" +
        R"("district":"a","loaners":false,"tenure":)" + std::to_string(session_) + R"(,"tally":)" +
        std::to_string(++sequence) + R"(,"warrant":)" + std::to_string(seen_) +
        R"(,"recall_s":null,"parts":[)" + parts + "]}");
    if (answer.status != 200) return;
    answered_ = now;
    json::Document doc;
    ASSERT_TRUE(json::parse(doc, answer.body));
    seen_ = json::count(doc, "warrant").value_or(0);
    if (!obeys) return;
    for (const auto& order : json::list(doc, "orders")->GetArray()) {
      if (json::text(order, "verb") == "kill") {
        std::erase(tasks_, std::string(*json::text(order, "part")));
      }
      if (json::text(order, "verb") == "start") ++starts;
    }
  }
  [[nodiscard]] bool has_tasks() const { return !tasks_.empty(); }
  [[nodiscard]] std::uint64_t epoch() const { return session_; }

  bool obeys = true;
  bool hangs = false;
  int starts = 0;

 private:
  std::string machine_id_;
  std::vector<std::string> tasks_;
  std::uint64_t session_ = 1;
  std::uint64_t seen_ = 0;
  SteadyTime answered_{Duration{10'000'000}};
};

/// The holder of a shard is refused by the state service; a peer confirms the cancellation of
/// req-1; a second later nobody has the state service, for longer than `cancel_s`.
class CancellationOutageTest : public ShardHolderTest {
 protected:
  CancellationOutageTest() {
    cancellations_.on_peer_cancellation(
        [this](const JobId& job_id) { holder_.on_job_cancelled(job_id); });
  }

  /// req-1 runs on vm-1, req-2 on vm-2, both seen; then the state service is lost here.
  void both_run() {
    for (const char* machine_id : {"vm-1", "vm-2"})
      place("req-" + std::string(machine_id + 3), machine_id);
    run(Duration{100});
    pass(Duration{6'000});
    ASSERT_TRUE(first_.has_tasks());
    ASSERT_TRUE(second_.has_tasks());
    watch_answers_ = false;
    pass(Duration{1'000});
    confirmed_ = time_.steady();
    confirmed_wall_ = time_.wall();
  }

  void place(const std::string& job_id, const std::string& machine_id) {
    JobRecord job;
    job.spec = testing::gang(job_id, 1, 1, 1000);
    job.accepted = time_.wall();
    store_.put(keys::job(job.spec.job_id), encode(job));
    SliceRecord slice;
    slice.job_id = job.spec.job_id;
    slice.tasks.resize(1);
    slice.tasks[0].state = TaskState::bound;
    slice.tasks[0].attempt = Attempt(1);
    slice.tasks[0].zone = ZoneId("a");
    slice.tasks[0].machine_id = MachineId(machine_id);
    slice.tasks[0].epoch = WorkerEpoch(1);
    store_.put(keys::slice(slice.job_id, 0), encode(slice));
  }

  /// Workers heartbeat; the state service refuses this controller; the peer answers heartbeats, if
  /// it does.
  void pass(Duration duration) {
    for (std::int64_t at = 0; at < duration.count(); at += 1'000) {
      if (!watch_answers_) store_.scripts.assign(50, Script::refuse);
      if (peer_) ask_peer();
      run(Duration{1'000});
      first_.heartbeat(holder_, time_.steady(), settings_.workers.lease, sequence_);
      second_.heartbeat(holder_, time_.steady(), settings_.workers.lease, sequence_);
    }
    if (watch_answers_) store_.scripts.clear();
  }

  void ask_peer() {
    cancellations_.merge_peer_list(*peer_);
    PeerCancellationList answer{time_.steady(), time_.wall(), *peer_};
    const auto until = cancellation_freshness_.fresh_until(time_.steady(), time_.wall(),
                                                           cache_.fresh_until_wall(), {answer});
    if (until) holder_.extend_cancellation_freshness(*until);
  }

  /// A peer that began long ago, whose records are fresh until now, and that lists req-1.
  [[nodiscard]] CancellationList peer_list() const {
    CancellationList list;
    list.started_ms = unix_milliseconds(time_.wall()) - 1'000'000;
    list.fresh_until_ms = unix_milliseconds(time_.wall());
    list.complete = true;
    list.items = {{"req-1", unix_milliseconds(confirmed_wall_)}};
    return list;
  }

  /// Whether req-1's task is gone when `cancel_s` has passed since the confirmation.
  [[nodiscard]] bool gone_in_time() {
    while (first_.has_tasks() && time_.steady() - confirmed_ <= settings_.workers.cancel) {
      pass(Duration{1'000});
    }
    return !first_.has_tasks() && time_.steady() - confirmed_ <= settings_.workers.cancel;
  }

  Worker first_{"vm-1", "req-1/0"};
  Worker second_{"vm-2", "req-2/0"};
  CancellationFreshness cancellation_freshness_{Duration{50}};
  std::optional<CancellationList> peer_;
  SteadyTime confirmed_;
  WallTime confirmed_wall_;
};

TEST_F(CancellationOutageTest, AToldCancellationEndsItsTaskAtOnceAndCostsNobodyElse) {
  both_run();
  peer_ = peer_list();
  pass(Duration{2'000});
  EXPECT_FALSE(first_.has_tasks());
  pass(settings_.workers.cancel * 2);
  EXPECT_TRUE(second_.has_tasks()) << "all peers vouch that nothing else was cancelled";
  EXPECT_EQ(second_.epoch(), 1U);
}

TEST_F(CancellationOutageTest, WithoutAWordOfThePeersAllLeasesLapseInTime) {
  both_run();
  EXPECT_TRUE(gone_in_time());
  pass(Duration{3'000});
  EXPECT_FALSE(second_.has_tasks());
}

TEST_F(CancellationOutageTest, APeerThatRestartedAfterItConfirmedDoesNotVouch) {
  both_run();
  peer_ = peer_list();
  peer_->started_ms = unix_milliseconds(time_.wall()) + 500;
  peer_->fresh_until_ms = 0;
  peer_->items.clear();
  EXPECT_TRUE(gone_in_time());
}

TEST_F(CancellationOutageTest, APeerThatFallsSilentAfterItHasToldLeavesWhatItTold) {
  both_run();
  peer_ = peer_list();
  pass(Duration{1'000});
  peer_.reset();
  pass(Duration{2'000});
  EXPECT_FALSE(first_.has_tasks());
  EXPECT_TRUE(second_.has_tasks());
}

// A machine that renews its lease and does not do as it is told, for whatever reason.
TEST_F(CancellationOutageTest, AMachineThatKeepsACancelledTaskLosesItsLeaseInTime) {
  first_.obeys = false;
  both_run();
  peer_ = peer_list();
  EXPECT_TRUE(gone_in_time());
  EXPECT_TRUE(second_.has_tasks());
}

// What hangs does not even notice that its lease has lapsed.
TEST_F(CancellationOutageTest, AMachineIsOverdueOnlyWhereItsCancelledTaskIsNotKnownToHaveEnded) {
  both_run();
  first_.hangs = true;
  peer_ = peer_list();
  pass(Duration{20'000});
  EXPECT_TRUE(holder_.machines_past_cancellation_deadline().empty())
      << "it may still be ended in the ordinary way";
  pass(Duration{5'000});
  EXPECT_EQ(holder_.machines_past_cancellation_deadline(),
            std::vector<MachineId>{MachineId("vm-1")});
  first_.hangs = false;
  handle_heartbeat(2, token());  // in a new epoch
  EXPECT_TRUE(holder_.machines_past_cancellation_deadline().empty())
      << "though it can't be recorded";
}

TEST_F(CancellationOutageTest, SoItDoesWhenTheStateServiceIsThere) {
  first_.obeys = false;
  both_run();
  watch_answers_ = true;
  store_.scripts.clear();
  cancel();
  EXPECT_TRUE(gone_in_time());
  EXPECT_TRUE(second_.has_tasks());
}

TEST_F(CancellationOutageTest, AMachineThatHangsAndResumesJustInsideItsLeaseIsNotKeptAlive) {
  first_.obeys = false;
  both_run();
  peer_ = peer_list();
  pass(Duration{20'000});  // the last answer but few
  first_.hangs = true;
  pass(settings_.workers.lease - Duration{2'000});
  first_.hangs = false;
  EXPECT_TRUE(gone_in_time());
}

TEST_F(CancellationOutageTest, AHolderThatHasJustTakenTheShardRefusesByTheTimeOfTheCancellation) {
  first_.obeys = false;
  both_run();
  watch_answers_ = true;
  store_.scripts.clear();
  cancel();
  pass(Duration{22'000});
  give_shard("other", 9);
  pass(Duration{2'000});
  give_shard("me", 7);  // without memory
  watch_answers_ = false;
  EXPECT_TRUE(gone_in_time());
}

TEST_F(CancellationOutageTest, NothingIsStartedWhileACancellationMayBeUnknown) {
  handle_heartbeat(1, token(), "", "vm-1");
  place("req-1", "vm-1");
  run(Duration{20});
  ASSERT_TRUE(cache_.records().placed.contains(MachineId("vm-1")));
  watch_answers_ = false;  // its binding is the last that this controller hears
  run(Duration{3'000});
  workers_.sent.clear();
  const auto answer = handle_heartbeat(1, token(), "", "vm-1");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body.find("start"), std::string::npos);
  holder_.extend_cancellation_freshness(time_.steady());
  EXPECT_NE(handle_heartbeat(1, token(), "", "vm-1").body.find("start"), std::string::npos)
      << "all peers vouch that it was not cancelled";
}

TEST_F(CancellationOutageTest, WhatAPeerTellsIsKilledByADirectOrderAndNotStarted) {
  both_run();
  // The introductions got no answer; nothing is on its way any more.
  const auto introductions = std::move(workers_.sent);
  workers_.sent.clear();
  for (const auto& order : introductions) order.then({});
  cancellations_.merge_peer_list(peer_list());
  run(Duration{50});
  EXPECT_TRUE(sent("kill"));
  handle_heartbeat(1, token(), "", "vm-1");
  EXPECT_FALSE(sent("start"));
}

TEST_F(CancellationOutageTest, WhereCancelLeavesNoTimeBeyondTheLeaseNobodyVouches) {
  settings_.workers.cancel = settings_.workers.lease + Duration{5'000};
  EXPECT_EQ(handle_heartbeat(1, token()).status, 200);
  watch_answers_ = false;
  run(Duration{2'000});
  EXPECT_EQ(handle_heartbeat(1, token()).status, 200);
  holder_.extend_cancellation_freshness(time_.steady());
  run(Duration{1'000});
  EXPECT_EQ(handle_heartbeat(1, token()).status, 421);
}

class CancellationsTest : public ShardHolderTest {
 protected:
  [[nodiscard]] bool listed(const std::string& job_id) {
    const auto list = cancellations_.list();
    return std::any_of(list.items.begin(), list.items.end(),
                       [&](const auto& item) { return item.job_id == job_id; });
  }
};

TEST_F(CancellationsTest, ListsWhatTheRecordsHaveAndWhatWasToldUntilTheRecordsHaveIt) {
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

TEST_F(CancellationsTest, WhatIsToldIsNewsOnce) {
  int news = 0;
  cancellations_.on_confirmed([&] { ++news; });
  release();
  cancel();
  run(Duration{20});
  for (int i = 0; i < 3; ++i) cancellations_.add_confirmed(JobId("req-1"), time_.wall());
  EXPECT_EQ(news, 1);
}

TEST_F(CancellationsTest, AListThatIsCutOrNotAllKeptDoesNotVouch) {
  EXPECT_TRUE(cancellations_.list().complete);
  CancellationList storm;
  for (std::size_t i = 0; i < Cancellations::kMaxListed + 1; ++i) {
    storm.items.push_back({"req-" + std::to_string(100'000 + i), 1});
  }
  cancellations_.merge_peer_list(storm);
  EXPECT_FALSE(cancellations_.list().complete);
  EXPECT_LE(cancellations_.list().items.size(), Cancellations::kMaxListed);
  PeerHeartbeat heartbeat;
  heartbeat.cancellations = cancellations_.list();
  EXPECT_TRUE(decode_peer_heartbeat(encode(heartbeat))) << "the longest list fits into a message";
  EXPECT_TRUE(cancellations_.holds_all());
  for (std::size_t i = 0; i < Cancellations::kMaxUnrecorded; ++i) {
    storm.items.push_back({"req-" + std::to_string(200'000 + i), 1});
  }
  watch_answers_ = false;
  cancellations_.merge_peer_list(storm);
  EXPECT_FALSE(cancellations_.holds_all());
  watch_answers_ = true;
  run(Duration{1'000});
  EXPECT_TRUE(cancellations_.holds_all()) << "the records are fresher again";
}

TEST_F(CancellationsTest, NonsenseIsLeftOut) {
  CancellationList list;
  list.items = {{"", 1}, {"x y", 1}, {"req-7", unix_milliseconds(time_.wall()) + 1'000'000}};
  cancellations_.merge_peer_list(list);
  EXPECT_EQ(cancellations_.list().items.size(), 1U);
  EXPECT_EQ(cancellations_.cancelled_at(JobId("req-7")), time_.wall()) << "never in the future";
}

}  // namespace
}  // namespace marblevale
