// Copies of direct orders that were carried out and answered before, and orders that are delivered
// minutes late. Guards against a task that runs on two machines, and a cancelled task that runs
// again, after the controller or the machine was back within a second. One holder at a time.
#include "cancellations/cancellations.hpp"
#include "election/election.hpp"
#include "shards/shard_holder.hpp"
#include "support/faulty_store.hpp"
#include "support/helpers.hpp"
#include "support/simulated_worker.hpp"
#include "support/stored_records.hpp"

namespace marblevale {
namespace {

using testing::EventQueue;
using testing::FaultyStore;
using testing::SimulatedWorker;

/// What happens to the task in the end.
enum class Fate { completes, is_cancelled, is_moved };
/// What happens while it starts, runs, ends or is cleared.
enum class Disturbance {
  none,
  controller_is_back,  // within a second, as a new incarnation
  shard_moves,         // to another controller
  shard_returns,       // to another controller and back
  machine_hangs,       // for less than a second
  machine_is_back      // within a second, without its tasks
};
/// When the network delivers a direct order for the first time. The sender has given up on late
/// ones.
enum class Delivery { at_once, after_seconds, after_minutes };

struct Order {
  std::string address;
  std::string body;
};

class LateStartTest : public ::testing::TestWithParam<std::tuple<Fate, Disturbance, Delivery>> {
 protected:
  static constexpr Duration kStep{20};
  static constexpr Duration kCoarseStep{250};  // once nothing is left to do
  static constexpr Duration kLease{12'000};
  static constexpr Duration kCancelLimit{30'000};
  static constexpr Duration kRun{2'000};
  static constexpr Duration kLatency{30};  // of a heartbeat, and of its answer
  static constexpr Duration kWatchDelay{5};
  static constexpr Duration kOrderTimeout{1'500};
  static constexpr Duration kLateBySeconds{2'000};

  /// One incarnation of a controller's process.
  struct Process : public OrderSender {
    Process(LateStartTest& owner, const std::string& node, std::uint64_t incarnation)
        : test(owner),
          settings(settings_of(node)),
          loop(&owner.time_),
          store(owner.store_, owner.events_, owner.random_),
          cache(loop, owner.time_, store, incarnation),
          election(loop, owner.time_, settings, store, cache, ProcessIncarnation(incarnation)),
          cancellations(owner.time_, cache),
          holder(loop, owner.time_, settings, cache, election, *this, cancellations) {
      cache.begin();
      election.begin();
      holder.begin();
    }
    void send(const std::string& address, std::string body, HttpHandler then) override {
      test.send({address, std::move(body)},
                [alive = std::weak_ptr<bool>(alive), then = std::move(then)](const HttpReply& r) {
                  if (!alive.expired()) then(r);
                });
    }

    LateStartTest& test;
    Settings settings;
    Loop loop;
    FaultyStore store;
    WatchCache cache;
    Election election;
    Cancellations cancellations;
    ShardHolder holder;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  };

  static Settings settings_of(const std::string& node) {
    Settings settings;
    settings.node = NodeId(node);
    settings.zone = ZoneId("a");
    settings.zones = {ZoneId("a")};
    settings.peers.push_back({NodeId(node == "n1" ? "n2" : "n1"), ZoneId("a"), {}});
    settings.workers = {Duration{1'000}, kLease, Duration{20'000}, Duration{4'000}, kCancelLimit};
    return settings;
  }

  void SetUp() override {
    MachineType type;
    type.name = "g8";
    type.resources = {96, 8, 768};
    type.zones = {ZoneId("a")};
    store_.put(keys::kTypes, encode(std::vector<MachineType>{type}));
    for (const char* name : {"vm-1", "vm-2"}) {
      MachineRecord machine = testing::machine_record(name, time_.wall());
      machine.address = name;
      store_.put_machine(machine);
      SimulatedWorker& worker = workers_.emplace(name, SimulatedWorker(name, "a")).first->second;
      worker.min_run = worker.max_run = kRun;
      worker.on_start = [this, name](const std::string& task_id, std::uint64_t attempt) {
        check_start(name, task_id, attempt);
      };
    }
    start_process("n1");
    start_process("n2");
    assign_shard("n1");
    run(Duration{3'000});
    testing::put_job(store_, spec_, time_.wall());
    release("vm-1", 1);
    for (int i = 0; i < 100 && !start_sent(); ++i) step();
    ASSERT_TRUE(start_sent());
  }
  [[nodiscard]] bool start_sent() const {
    return std::any_of(sent_.begin(), sent_.end(), [](const Order& order) {
      return order.body.find("\"start\"") != std::string::npos;
    });
  }

  void start_process(const std::string& node) {
    processes_[node].reset();
    processes_[node] = std::make_unique<Process>(*this, node, ++last_incarnation_);
    incarnations_[node] = last_incarnation_;
  }
  void assign_shard(const std::string& node) {
    shard_holder_ = node;
    store_.put(keys::shard(ZoneId("a")),
               encode(ShardRecord{ZoneId("a"), NodeId(node),
                                  ProcessIncarnation(incarnations_.at(node)), 1}));
  }

  void send(const Order& order, const HttpHandler& then) {
    sent_.push_back(order);
    const auto give_up = [this, then] {
      events_.after(kOrderTimeout, [then] { then(HttpReply::no_answer()); });
    };
    switch (std::get<Delivery>(GetParam())) {
      case Delivery::at_once:
        events_.after(Duration{5}, [this, order, then] { deliver(order, then); });
        return;
      case Delivery::after_seconds:
        events_.after(kLateBySeconds, [this, order] { deliver(order, [](const HttpReply&) {}); });
        give_up();
        return;
      case Delivery::after_minutes:
        give_up();  // `deliver_copies` delivers the order
        return;
    }
  }
  void deliver(const Order& order, const HttpHandler& then) {
    SimulatedWorker& worker = workers_.at(order.address);
    if (worker.hangs(time_.steady())) {
      events_.after(worker.hangs_until() - time_.steady(),
                    [this, order, then] { deliver(order, then); });
      return;
    }
    const int status = worker.on_order(order.body, time_.steady(), random_);
    then(HttpReply::answer(status, worker.heartbeat()));
  }
  /// Delivers everything that was ever sent to a worker directly once more.
  void deliver_copies() {
    for (const Order& order : sent_) deliver(order, [](const HttpReply&) {});
  }

  [[nodiscard]] std::optional<JobRecord> job() const {
    return testing::stored_record<JobRecord>(store_, keys::job(spec_.job_id));
  }
  /// The task's record; a default task once the job has ended, when its slice means nothing.
  [[nodiscard]] TaskRecord task() const {
    const auto tasks = testing::stored_tasks(store_, "req-1");
    return tasks.empty() || !job() ? TaskRecord{} : tasks.front();
  }
  [[nodiscard]] bool done() const {
    const auto end = testing::stored_record<FinalRecord>(store_, keys::final_job(spec_.job_id));
    return end && end->state == FinalState::done;
  }
  [[nodiscard]] std::optional<WallTime> cancelled_at() const {
    const auto record = job();
    return record ? record->cancelled : std::nullopt;
  }

  /// A start may be executed only while the record binds the task to the machine, because a task
  /// that the record gives up is started elsewhere, or ends with its job.
  void check_start(const std::string& machine_id, const std::string& task_id,
                   std::uint64_t attempt) {
    ++starts_;
    const bool bound = testing::is_bound(store_, task_id, attempt, machine_id);
    if (!bound) violation_ = task_id + " starts on " + machine_id + " and is not bound to it";
    const auto cancelled = cancelled_at();
    if (cancelled && time_.wall() - *cancelled > kCancelLimit) {
      violation_ = task_id + " starts long after its cancellation";
    }
  }

  void release(const std::string& machine_id, std::uint64_t attempt) {
    TaskRecord released = testing::placed_task(machine_id, TaskState::released);
    released.attempt = Attempt(attempt);
    released.since = time_.wall();
    testing::put_slice(store_, testing::slice_record(spec_.job_id, {released}));
  }
  /// Starts an idle task again, on the other machine, as the leader would.
  void release_again() {
    const auto slice = store_.get(keys::slice(spec_.job_id, 0));
    if (!slice || slice->mod_revision == examined_revision_) return;
    examined_revision_ = slice->mod_revision;
    const TaskRecord record = task();
    if (!job() || record.state != TaskState::idle || cancelled_at()) return;
    release(record.attempt.get() % 2 == 0 ? "vm-1" : "vm-2", record.attempt.get() + 1);
  }
  void stop() {
    TaskRecord record = task();
    if (!record.placed()) return;
    record.stop = StopOrder{Duration{0}, StopReason("displaced")};
    testing::put_slice(store_, testing::slice_record(spec_.job_id, {record}));
  }

  void step(Duration by = kStep) {
    // A commit's answer mostly comes before the watch shows the commit.
    time_.advance(by - kWatchDelay);
    events_.run_due();
    time_.advance(kWatchDelay);
    events_.run_due();
    store_.deliver_watch_events();
    const SteadyTime now = time_.steady();
    for (auto& [name, worker] : workers_) {
      if (worker.hangs(now)) continue;
      worker.step(now, kLease);
      if (now < worker.next_heartbeat) continue;
      send_heartbeat(worker, shard_holder_);
    }
    release_again();
    check_running();
  }
  /// The heartbeat and its answer take a moment each, in which orders may arrive.
  void send_heartbeat(SimulatedWorker& worker, const std::string& node) {
    const auto sent = worker.sent_at(time_.steady());
    worker.next_heartbeat = sent.at + SimulatedWorker::kAnswerTimeout;
    events_.after(kLatency, [this, &worker, node, sent, body = worker.heartbeat()] {
      if (!processes_.at(node)) return;
      const HeartbeatReply answer = processes_.at(node)->holder.handle_heartbeat(body);
      if (std::exchange(loses_next_answer_, false)) return;
      events_.after(kLatency, [this, &worker, answer, sent] {
        worker.on_answer(answer, sent, time_.steady(), random_);
        worker.next_heartbeat = time_.steady() + Duration{1'000};
      });
    });
  }
  void check_running() {
    int running = 0;
    for (const auto& [name, worker] : workers_) {
      for (const auto& [id, task] : worker.tasks()) running += task.ended ? 0 : 1;
    }
    if (running > 1) violation_ = "the task runs on two machines";
  }
  void run(Duration duration, Duration by = kStep) {
    for (Duration passed{}; passed < duration; passed += by) step(by);
  }
  void run_with_copies(Duration duration, Duration interval) {
    for (Duration passed{}; passed < duration; passed += interval) {
      run(interval);
      deliver_copies();
    }
  }

  void disturb(Disturbance disturbance) {
    const SteadyTime now = time_.steady();
    loses_next_answer_ = std::get<Delivery>(GetParam()) == Delivery::after_seconds;
    switch (disturbance) {
      case Disturbance::none:
        return;
      case Disturbance::controller_is_back:
        processes_["n1"].reset();
        run(Duration{300});
        start_process("n1");
        return;
      case Disturbance::shard_moves:
        assign_shard("n2");
        return;
      case Disturbance::shard_returns:
        assign_shard("n2");
        run(Duration{300});
        assign_shard("n1");
        return;
      case Disturbance::machine_hangs:
        workers_.at("vm-1").hang(now + Duration{900});
        return;
      case Disturbance::machine_is_back:
        workers_.at("vm-1").begin_session(now);
        return;
    }
  }
  void apply(Fate fate) {
    if (fate == Fate::is_cancelled) testing::cancel_job(store_, "req-1", time_.wall());
    if (fate == Fate::is_moved) stop();
  }

  [[nodiscard]] bool workers_are_empty() const {
    return std::all_of(workers_.begin(), workers_.end(),
                       [](const auto& entry) { return entry.second.tasks().empty(); });
  }

  testing::FakeTime time_;
  testing::ScriptedStore store_;
  EventQueue events_{time_};
  testing::RandomSource random_{1};
  JobSpec spec_ = testing::batch("req-1", 1, 1, 100);
  std::map<std::string, SimulatedWorker> workers_;
  std::map<std::string, std::unique_ptr<Process>> processes_;
  std::map<std::string, std::uint64_t> incarnations_;
  std::uint64_t last_incarnation_ = 0;
  std::string shard_holder_;  // its process may have ended
  ModRevision examined_revision_;
  std::vector<Order> sent_;
  int starts_ = 0;
  bool loses_next_answer_ = false;  // to a heartbeat of any worker
  std::string violation_;
};

/// The same test with the disturbance at another time after the release.
class LateStartAt : public LateStartTest {
 protected:
  /// Copies are delivered all the time, but minutes late ones only in the end.
  void advance(Duration duration, Duration copy_interval) {
    if (std::get<Delivery>(GetParam()) != Delivery::at_once) return run(duration);
    run_with_copies(duration, copy_interval);
  }
  void expect_no_late_start(Duration disturbed_after) {
    const auto [fate, disturbance, delivery] = GetParam();
    advance(disturbed_after, Duration{100});
    disturb(disturbance);
    advance(Duration{200}, Duration{100});
    apply(fate);
    advance(Duration{20'000}, Duration{500});
    run(Duration{40'000}, kCoarseStep);
    EXPECT_EQ(violation_, "");
    EXPECT_FALSE(task().placed());
    EXPECT_TRUE(fate == Fate::is_cancelled || done());
    EXPECT_TRUE(workers_are_empty()) << "an ended task is cleared in the end";
    const int starts = starts_;
    for (int minute = 1; minute <= 5; ++minute) {
      run(Duration{60'000}, kCoarseStep);
      deliver_copies();
      EXPECT_EQ(starts_, starts) << "after " << minute << " minutes";
    }
    run(Duration{10'000}, kCoarseStep);
    EXPECT_EQ(violation_, "");
  }
};

// The times are about those at which the order is sent and carried out, the task is reported, ends
// and is reported as ended, its end is recorded, the fencing token rises and the task is cleared.
TEST_P(LateStartAt, TheOrder) { expect_no_late_start(Duration{0}); }
TEST_P(LateStartAt, TheStart) { expect_no_late_start(Duration{100}); }
TEST_P(LateStartAt, TheRun) { expect_no_late_start(Duration{1'300}); }
TEST_P(LateStartAt, TheEnd) { expect_no_late_start(Duration{2'100}); }
TEST_P(LateStartAt, TheReportOfTheEnd) { expect_no_late_start(Duration{3'100}); }
TEST_P(LateStartAt, TheRecordOfTheEnd) { expect_no_late_start(Duration{4'000}); }
TEST_P(LateStartAt, TheRenewalOfTheToken) { expect_no_late_start(Duration{8'500}); }
TEST_P(LateStartAt, TheClearing) { expect_no_late_start(Duration{12'000}); }

std::string case_name(const ::testing::TestParamInfo<LateStartAt::ParamType>& info) {
  static const std::map<Fate, std::string> fates{{Fate::completes, "Completes"},
                                                 {Fate::is_cancelled, "IsCancelled"},
                                                 {Fate::is_moved, "IsMoved"}};
  static const std::map<Disturbance, std::string> disturbances{
      {Disturbance::none, "Undisturbed"},
      {Disturbance::controller_is_back, "ControllerIsBack"},
      {Disturbance::shard_moves, "ShardMoves"},
      {Disturbance::shard_returns, "ShardReturns"},
      {Disturbance::machine_hangs, "MachineHangs"},
      {Disturbance::machine_is_back, "MachineIsBack"}};
  static const std::map<Delivery, std::string> deliveries{
      {Delivery::at_once, "DeliveredAtOnce"},
      {Delivery::after_seconds, "DeliveredAfterSeconds"},
      {Delivery::after_minutes, "DeliveredAfterMinutes"}};
  const auto [fate, disturbance, delivery] = info.param;
  return fates.at(fate) + "_" + disturbances.at(disturbance) + "_" + deliveries.at(delivery);
}

INSTANTIATE_TEST_SUITE_P(
    Orders, LateStartAt,
    ::testing::Combine(::testing::Values(Fate::completes, Fate::is_cancelled, Fate::is_moved),
                       ::testing::Values(Disturbance::none, Disturbance::controller_is_back,
                                         Disturbance::shard_moves, Disturbance::shard_returns,
                                         Disturbance::machine_hangs, Disturbance::machine_is_back),
                       ::testing::Values(Delivery::at_once, Delivery::after_seconds,
                                         Delivery::after_minutes)),
    case_name);

}  // namespace
}  // namespace marblevale
