// Random faults of the state service and the network, failovers, shard moves and restarts: no team
// exceeds its quota, by the records or on the workers, and every job ends. Each seed gives the same
// run.
#include "support/simulated_cluster.hpp"

namespace marblevale {
namespace {

using testing::FaultyStore;
using testing::SimulatedCluster;
using Condition = FaultyStore::Condition;

class QuotaUnderFaults : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  static constexpr Duration kFaultPeriod{30'000};
  static constexpr Duration kRecovery{120'000};
  static constexpr std::size_t kMaxOpenJobs = 8;

  [[nodiscard]] std::string violation() const {
    for (const auto& [team, limit] : {std::pair{"crew", 4.0}, {"guild", 3.0}}) {
      const double recorded = cluster_.gpus_by_records(team);
      const double running = cluster_.gpus_at_workers(team);
      if (recorded > limit) return team + (" has by the records " + std::to_string(recorded));
      if (running > limit) return team + (" has at the workers " + std::to_string(running));
    }
    const std::string duplicate_task = cluster_.running_twice();
    return duplicate_task.empty() ? "" : duplicate_task + " runs on two machines";
  }

  void submit_random_job() {
    testing::RandomSource& random = cluster_.random;
    if (cluster_.unfinished_jobs() >= kMaxOpenJobs || !random.chance(0.5)) return;
    const std::string job_id = "req-" + std::to_string(++last_job_);
    const auto gpus = static_cast<double>(random.between(1, 2));
    JobSpec spec =
        random.chance(0.5)
            ? testing::gang(job_id, 1, gpus, 5)
            : testing::batch(job_id, static_cast<std::uint32_t>(random.between(1, 4)), gpus, 5);
    spec.team = TeamId(random.chance(0.5) ? "crew" : "guild");
    // Later jobs often have priority, by their urgency or their shorter estimated run time.
    spec.urgency = static_cast<Urgency>(
        random.between(static_cast<int>(Urgency::low), static_cast<int>(Urgency::production)));
    spec.estimated_run = random.span(2'000, 20'000);
    cluster_.submit(spec);
  }

  void set_condition(const NodeId& node, Condition condition) {
    const auto it = cluster_.controllers.find(node);
    if (it != cluster_.controllers.end()) it->second->store.condition = condition;
  }

  /// Loses the answers to the leader's commits, refuses its retries, and accepts requests again a
  /// moment later.
  void drop_answers_then_refuse() {
    const auto leader = testing::stored_record<LeaderRecord>(cluster_.store, keys::kLeader);
    if (!leader) return;
    const NodeId node = leader->node;
    set_condition(node, Condition::losing);
    const auto set_condition_after = [this, node](std::int64_t ms, Condition condition) {
      cluster_.events.after(Duration{ms},
                            [this, node, condition] { set_condition(node, condition); });
    };
    set_condition_after(500, Condition::good);
    set_condition_after(1'900, Condition::refusing);
    set_condition_after(3'000, Condition::good);
  }

  void inject_faults() {
    testing::RandomSource& random = cluster_.random;
    if (random.chance(0.12)) drop_answers_then_refuse();
    for (auto& [node, controller] : cluster_.controllers) {
      Condition& condition = controller->store.condition;
      if (condition != Condition::good && random.chance(0.2)) {
        condition = Condition::good;
      } else if (random.chance(0.04)) {
        condition = static_cast<Condition>(random.between(0, 3));
      }
    }
    if (random.chance(0.02) && cluster_.store.get(keys::kLeader)) {
      cluster_.store.expire_lease_of(keys::kLeader);
    }
    if (random.chance(0.02)) {
      const auto node = random.between(1, 3);
      cluster_.start_controller("n" + std::to_string(node), node == 2 ? "b" : "a");
    }
    if (random.chance(0.05) && last_job_ > 0) {
      cluster_.cancel("req-" + std::to_string(random.between(1, last_job_)));
    }
  }

  void run_with_faults() {
    for (Duration elapsed{}; elapsed < kFaultPeriod; elapsed = elapsed + SimulatedCluster::kStep) {
      if (elapsed.count() % 200 == 0) {
        submit_random_job();
        inject_faults();
      }
      cluster_.step();
      const std::string error = violation();
      ASSERT_EQ(error, "") << "after " << elapsed.count() << " ms of faults";
    }
  }

  void end_faults() {
    cluster_.network_faults = false;
    for (auto& [node, controller] : cluster_.controllers) {
      controller->store.condition = Condition::good;
    }
  }

  SimulatedCluster cluster_{GetParam(), GetParam() % 2 == 0};
  std::int64_t last_job_ = 0;
};

TEST_P(QuotaUnderFaults, NoTeamExceedsItsLimitAndEveryJobEnds) {
  for (int i = 0; i < 150; ++i) cluster_.step();
  cluster_.network_faults = true;
  run_with_faults();
  if (HasFatalFailure()) return;
  end_faults();
  for (Duration elapsed{}; elapsed < kRecovery && cluster_.unfinished_jobs() > 0;
       elapsed = elapsed + SimulatedCluster::kStep) {
    cluster_.step();
    ASSERT_EQ(violation(), "") << "after the faults";
  }
  EXPECT_EQ(cluster_.unfinished_jobs(), 0U) << "something stayed counted, or was forgotten";
  EXPECT_GT(last_job_, 10);
}

INSTANTIATE_TEST_SUITE_P(Seeds, QuotaUnderFaults, ::testing::Range<std::uint64_t>(1, 25));

}  // namespace
}  // namespace marblevale
