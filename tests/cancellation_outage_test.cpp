// Cancellations during an outage of the state service: controllers report them to each other, and a
// cancelled task ends in time by a `kill` order or by the expiry of its machine's lease.
#include "cancellations/cancellations.hpp"
#include "support/shard_holder_fixture.hpp"

namespace marblevale {
namespace {

using testing::Script;
using testing::ShardHolderTest;

/// A worker that implements the protocol: its lease, epoch and tasks. The test decides whether it
/// executes a `kill`, and makes it heartbeat once per second of the fake time.
class Worker {
 public:
  explicit Worker(std::string machine_id, std::string task) : machine_id_(std::move(machine_id)) {
    tasks_.push_back(std::move(task));
  }

  void heartbeat(ShardHolder& holder, SteadyTime now, Duration lease, std::uint64_t& sequence) {
    if (now - last_reply_at_ > lease) {
      tasks_.clear();
      ++epoch_;
      last_reply_at_ = now;
    }
    if (hangs) return;
    std::string parts;
    for (const auto& task : tasks_) {
      parts +=
          (parts.empty() ? "" : ",") + (R"({"part":")" + task + R"(","try":1,"status":"running"})");
    }
    const HeartbeatReply answer = holder.handle_heartbeat(
        R"({"host":")" + machine_id_ + R"(","address":"10.1.0.1:9000","build":"g8",)" +
        R"("district":"a","loaners":false,"tenure":)" + std::to_string(epoch_) + R"(,"tally":)" +
        std::to_string(++sequence) + R"(,"warrant":)" + std::to_string(seen_token_) +
        R"(,"recall_s":null,"parts":[)" + parts + "]}");
    if (answer.status != 200) return;
    last_reply_at_ = now;
    json::Document doc;
    ASSERT_TRUE(json::parse(doc, answer.body));
    seen_token_ = json::count(doc, "warrant").value_or(0);
    if (!executes_orders) return;
    for (const auto& order : json::list(doc, "orders")->GetArray()) {
      if (json::text(order, "verb") == "kill") {
        std::erase(tasks_, std::string(*json::text(order, "part")));
      }
      if (json::text(order, "verb") == "start") ++starts;
    }
  }
  [[nodiscard]] bool has_tasks() const { return !tasks_.empty(); }
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }

  bool executes_orders = true;
  bool hangs = false;
  int starts = 0;

 private:
  std::string machine_id_;
  std::vector<std::string> tasks_;
  std::uint64_t epoch_ = 1;
  std::uint64_t seen_token_ = 0;
  SteadyTime last_reply_at_{Duration{10'000'000}};
};

/// The state service refuses the requests of a shard holder, and a peer confirms the cancellation
/// of req-1. One second later no controller can reach the state service, for longer than
/// `cancel_s`.
class CancellationOutageTest : public ShardHolderTest {
 protected:
  CancellationOutageTest() {
    cancellations_.on_peer_cancellation(
        [this](const JobId& job_id) { holder_.on_job_cancelled(job_id); });
  }

  /// Runs req-1 on vm-1 and req-2 on vm-2. Then this controller loses the state service, and 1 s
  /// later a peer confirms the cancellation of req-1.
  void run_both_jobs() {
    for (const char* machine_id : {"vm-1", "vm-2"})
      put_job_on("req-" + std::string(machine_id + 3), machine_id);
    run(Duration{100});
    run_workers(Duration{6'000});
    ASSERT_TRUE(first_worker_.has_tasks());
    ASSERT_TRUE(second_worker_.has_tasks());
    watch_answers_ = false;
    run_workers(Duration{1'000});
    confirmed_at_ = time_.steady();
    confirmed_at_wall_ = time_.wall();
  }

  void put_job_on(const std::string& job_id, const std::string& machine_id) {
    const JobSpec job = testing::gang(job_id, 1, 1, 1000);
    put_job(store_, job, time_.wall());
    put_slice(store_, testing::slice_record(job.job_id, {testing::bound_task(machine_id)}));
  }

  /// Makes the workers heartbeat. The state service refuses this controller during the outage, and
  /// the peer replies to heartbeats if `peer_reply_` is set.
  void run_workers(Duration duration) {
    for (std::int64_t at = 0; at < duration.count(); at += 1'000) {
      if (!watch_answers_) store_.scripts.assign(50, Script::refuse);
      if (peer_reply_) exchange_with_peer();
      run(Duration{1'000});
      first_worker_.heartbeat(holder_, time_.steady(), settings_.workers.lease, sequence_);
      second_worker_.heartbeat(holder_, time_.steady(), settings_.workers.lease, sequence_);
    }
    if (watch_answers_) store_.scripts.clear();
  }

  void exchange_with_peer() {
    cancellations_.merge_peer_list(*peer_reply_);
    PeerCancellationList received{time_.steady(), time_.wall(), *peer_reply_};
    const auto fresh_until = cancellation_freshness_.fresh_until(
        time_.steady(), time_.wall(), cache_.fresh_until_wall(), {received});
    if (fresh_until) holder_.extend_cancellation_freshness(*fresh_until);
  }

  /// The list of a peer that started long ago and has fresh records; it contains req-1.
  [[nodiscard]] CancellationList peer_list() const {
    CancellationList list;
    list.started_ms = unix_milliseconds(time_.wall()) - 1'000'000;
    list.fresh_until_ms = unix_milliseconds(time_.wall());
    list.complete = true;
    list.items = {{"req-1", unix_milliseconds(confirmed_at_wall_)}};
    return list;
  }

  /// Whether req-1's task ends within `cancel_s` of the confirmation.
  [[nodiscard]] bool task_ends_in_time() {
    while (first_worker_.has_tasks() &&
           time_.steady() - confirmed_at_ <= settings_.workers.cancel) {
      run_workers(Duration{1'000});
    }
    return !first_worker_.has_tasks() && time_.steady() - confirmed_at_ <= settings_.workers.cancel;
  }

  Worker first_worker_{"vm-1", "req-1/0"};
  Worker second_worker_{"vm-2", "req-2/0"};
  CancellationFreshness cancellation_freshness_{Duration{50}};
  std::optional<CancellationList> peer_reply_;
  SteadyTime confirmed_at_;
  WallTime confirmed_at_wall_;
};

TEST_F(CancellationOutageTest, ACancellationReportedByAPeerEndsOnlyItsTask) {
  run_both_jobs();
  peer_reply_ = peer_list();
  run_workers(Duration{2'000});
  EXPECT_FALSE(first_worker_.has_tasks());
  run_workers(settings_.workers.cancel * 2);
  EXPECT_TRUE(second_worker_.has_tasks()) << "all peers confirm that nothing else was cancelled";
  EXPECT_EQ(second_worker_.epoch(), 1U);
}

TEST_F(CancellationOutageTest, WithoutPeerAnswersAllLeasesExpireInTime) {
  run_both_jobs();
  EXPECT_TRUE(task_ends_in_time());
  run_workers(Duration{3'000});
  EXPECT_FALSE(second_worker_.has_tasks());
}

TEST_F(CancellationOutageTest, APeerThatRestartedAfterItsConfirmationExtendsNoLease) {
  run_both_jobs();
  peer_reply_ = peer_list();
  peer_reply_->started_ms = unix_milliseconds(time_.wall()) + 500;
  peer_reply_->fresh_until_ms = 0;
  peer_reply_->items.clear();
  EXPECT_TRUE(task_ends_in_time());
}

TEST_F(CancellationOutageTest, ACancellationStaysKnownWhenItsPeerFallsSilent) {
  run_both_jobs();
  peer_reply_ = peer_list();
  run_workers(Duration{1'000});
  peer_reply_.reset();
  run_workers(Duration{2'000});
  EXPECT_FALSE(first_worker_.has_tasks());
  EXPECT_TRUE(second_worker_.has_tasks());
}

// The machine renews its lease but does not execute its orders.
TEST_F(CancellationOutageTest, AMachineThatKeepsACancelledTaskLosesItsLeaseInTime) {
  first_worker_.executes_orders = false;
  run_both_jobs();
  peer_reply_ = peer_list();
  EXPECT_TRUE(task_ends_in_time());
  EXPECT_TRUE(second_worker_.has_tasks());
}

// A worker that hangs does not end its tasks when its lease expires.
TEST_F(CancellationOutageTest, AMachineIsOverdueOnlyWhileItsCancelledTaskMayRun) {
  run_both_jobs();
  first_worker_.hangs = true;
  peer_reply_ = peer_list();
  run_workers(Duration{20'000});
  EXPECT_TRUE(holder_.machines_past_cancellation_deadline().empty())
      << "it may still be ended in the ordinary way";
  run_workers(Duration{5'000});
  EXPECT_EQ(holder_.machines_past_cancellation_deadline(),
            std::vector<MachineId>{MachineId("vm-1")});
  first_worker_.hangs = false;
  handle_heartbeat(2, token());  // in a new epoch
  EXPECT_TRUE(holder_.machines_past_cancellation_deadline().empty())
      << "though it can't be recorded";
}

TEST_F(CancellationOutageTest, AMachineThatKeepsACancelledTaskLosesItsLeaseWithoutAnOutage) {
  first_worker_.executes_orders = false;
  run_both_jobs();
  watch_answers_ = true;
  store_.scripts.clear();
  cancel();
  EXPECT_TRUE(task_ends_in_time());
  EXPECT_TRUE(second_worker_.has_tasks());
}

TEST_F(CancellationOutageTest, AMachineThatResumesJustBeforeLeaseExpiryGetsNoNewLease) {
  first_worker_.executes_orders = false;
  run_both_jobs();
  peer_reply_ = peer_list();
  run_workers(Duration{20'000});  // shortly before its lease is no longer renewed
  first_worker_.hangs = true;
  run_workers(settings_.workers.lease - Duration{2'000});
  first_worker_.hangs = false;
  EXPECT_TRUE(task_ends_in_time());
}

TEST_F(CancellationOutageTest, ANewShardHolderRefusesLeasesByTheTimeOfTheCancellation) {
  first_worker_.executes_orders = false;
  run_both_jobs();
  watch_answers_ = true;
  store_.scripts.clear();
  cancel();
  run_workers(Duration{22'000});
  assign_shard("other", 9);
  run_workers(Duration{2'000});
  assign_shard("me", 7);  // it has lost its state in memory
  watch_answers_ = false;
  EXPECT_TRUE(task_ends_in_time());
}

TEST_F(CancellationOutageTest, NothingIsStartedWhileACancellationMayBeUnknown) {
  handle_heartbeat(1, token(), "", "vm-1");
  put_job_on("req-1", "vm-1");
  run(Duration{20});
  ASSERT_TRUE(cache_.records().placed.contains(MachineId("vm-1")));
  watch_answers_ = false;  // the binding is the last change that this controller sees
  run(Duration{3'000});
  workers_.sent.clear();
  const auto answer = handle_heartbeat(1, token(), "", "vm-1");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body.find("start"), std::string::npos);
  holder_.extend_cancellation_freshness(time_.steady());
  EXPECT_NE(handle_heartbeat(1, token(), "", "vm-1").body.find("start"), std::string::npos)
      << "all peers confirm that it was not cancelled";
}

TEST_F(CancellationOutageTest, ACancellationReportedByAPeerIsKilledByADirectOrderAndNotStarted) {
  run_both_jobs();
  // The orders sent so far get no answer, so that no order is in flight.
  const auto unanswered_orders = std::move(workers_.sent);
  workers_.sent.clear();
  for (const auto& order : unanswered_orders) order.reply({});
  cancellations_.merge_peer_list(peer_list());
  run(Duration{50});
  EXPECT_TRUE(sent("kill"));
  handle_heartbeat(1, token(), "", "vm-1");
  EXPECT_FALSE(sent("start"));
}

TEST_F(CancellationOutageTest, PeersExtendNoLeaseWhenTheCancelLimitIsTooShort) {
  settings_.workers.cancel = settings_.workers.lease + Duration{5'000};
  EXPECT_EQ(handle_heartbeat(1, token()).status, 200);
  watch_answers_ = false;
  run(Duration{2'000});
  EXPECT_EQ(handle_heartbeat(1, token()).status, 200);
  holder_.extend_cancellation_freshness(time_.steady());
  run(Duration{1'000});
  EXPECT_EQ(handle_heartbeat(1, token()).status, 421);
}

}  // namespace
}  // namespace marblevale
