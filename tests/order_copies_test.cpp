// Direct orders to workers that arrive twice, also minutes late, in a cluster whose controllers and
// machines are back within a second while jobs end, are cancelled or preempted and shards move:
// no task runs on two machines, and no start is executed after the task was given up. Each seed
// gives the same run. MARBLEVALE_SOAK_SEEDS sets the number of seeds, for a long run by hand.
#include "support/simulated_cluster.hpp"
#include "support/soak.hpp"

namespace marblevale {
namespace {

using testing::SimulatedCluster;

constexpr std::uint64_t kSeedsInCi = 24;

class OrderCopies : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  static constexpr Duration kFaultPeriod{40'000};
  /// Longer than the latest copy takes.
  static constexpr Duration kCopyPeriod{200'000};
  static constexpr Duration kFaultInterval{200};
  static constexpr Duration kCancelLimit{30'000};  // `cancel_s` of the cluster
  static constexpr std::size_t kMaxOpenJobs = 8;
  static constexpr std::int64_t kShortAbsenceMs = 1'000;

  /// What a worker has that it must not have; empty when there is nothing.
  [[nodiscard]] std::string violation() const {
    if (!cluster_.unbound_start().empty()) return "started unbound: " + cluster_.unbound_start();
    const std::string duplicate_task = cluster_.running_twice();
    if (!duplicate_task.empty()) return duplicate_task + " runs on two machines";
    for (const auto& [name, worker] : cluster_.workers) {
      for (const auto& [id, task] : worker.tasks()) {
        const auto cancelled = cancelled_at_.find(id.first.substr(0, id.first.find('/')));
        if (task.ended || cancelled == cancelled_at_.end()) continue;
        if (cluster_.time.steady() - cancelled->second > kCancelLimit) {
          return id.first + " runs long after its cancellation";
        }
      }
    }
    return "";
  }

  void submit_random_job() {
    testing::RandomSource& random = cluster_.random;
    if (cluster_.unfinished_jobs() >= kMaxOpenJobs || !random.chance(0.5)) return;
    const std::string job_id = "req-" + std::to_string(++last_job_);
    const auto tasks = static_cast<std::uint32_t>(random.between(1, 3));
    JobSpec spec = testing::batch(job_id, tasks, 1, 5);
    spec.team = TeamId(random.chance(0.5) ? "crew" : "guild");
    // Later jobs often have priority, so that tasks are stopped and moved.
    spec.urgency = static_cast<Urgency>(
        random.between(static_cast<int>(Urgency::low), static_cast<int>(Urgency::production)));
    cluster_.submit(spec);
  }

  void cancel_random_job() {
    const std::string job_id = "req-" + std::to_string(cluster_.random.between(1, last_job_));
    if (!cluster_.store.get(keys::job(JobId(job_id)))) return;
    cluster_.cancel(job_id);
    cancelled_at_.try_emplace(job_id, cluster_.time.steady());
  }

  void restart_controller() {
    const auto number = cluster_.random.between(1, 3);
    const std::string node = "n" + std::to_string(number);
    cluster_.controllers[NodeId(node)].reset();
    cluster_.events.after(cluster_.random.span(0, kShortAbsenceMs), [this, node, number] {
      cluster_.start_controller(node, number == 2 ? "b" : "a");
    });
  }

  void disturb_worker() {
    auto worker = cluster_.workers.begin();
    const auto last = static_cast<std::int64_t>(cluster_.workers.size()) - 1;
    std::advance(worker, cluster_.random.between(0, last));
    const SteadyTime now = cluster_.time.steady();
    if (cluster_.random.chance(0.7)) {
      worker->second.hang(now + cluster_.random.span(1, kShortAbsenceMs));
    } else {
      worker->second.begin_session(now);
    }
  }

  void expire_lease_of(const std::string& key) {
    if (cluster_.store.get(key)) cluster_.store.expire_lease_of(key);
  }

  void inject_faults() {
    testing::RandomSource& random = cluster_.random;
    if (random.chance(0.06)) restart_controller();
    if (random.chance(0.15)) disturb_worker();
    if (random.chance(0.03)) expire_lease_of(keys::shard(ZoneId(random.chance(0.5) ? "a" : "b")));
    if (random.chance(0.02)) expire_lease_of(keys::kLeader);
    if (random.chance(0.1) && last_job_ > 0) cancel_random_job();
  }

  void run(Duration duration, bool with_faults) {
    for (Duration elapsed{}; elapsed < duration; elapsed = elapsed + SimulatedCluster::kStep) {
      if (elapsed.count() % kFaultInterval.count() == 0) {
        submit_random_job();
        if (with_faults) inject_faults();
      }
      cluster_.step();
      const std::string error = violation();
      ASSERT_EQ(error, "") << "after " << elapsed.count() << " ms";
    }
  }

  SimulatedCluster cluster_{GetParam(), GetParam() % 2 == 0};
  std::int64_t last_job_ = 0;
  std::map<std::string, SteadyTime> cancelled_at_;
};

TEST_P(OrderCopies, NoCopyStartsATaskThatWasGivenUp) {
  for (int i = 0; i < 150; ++i) cluster_.step();
  cluster_.copies_orders = true;
  cluster_.network_faults = true;
  run(kFaultPeriod, true);
  if (HasFatalFailure()) return;
  cluster_.network_faults = false;
  run(kCopyPeriod, false);
  EXPECT_GT(cluster_.starts(), 50U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, OrderCopies,
                         ::testing::Range<std::uint64_t>(1, testing::soak_seeds(kSeedsInCi) + 1));

}  // namespace
}  // namespace marblevale
