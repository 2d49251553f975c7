// Random faults of the state service and of the ways between controllers, changes of leader and of
// block holder, restarts: no team may have more in use than its limit, by the records or at the
// workers, and nothing may stay counted for ever. Each seed repeats exactly.
#include "simulated_cluster.hpp"

namespace marblevale {
namespace {

using testing::FaultyStore;
using testing::SimulatedCluster;
using Condition = FaultyStore::Condition;

class QuotaUnderFaults : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  static constexpr Duration kTroubles{30'000};
  static constexpr Duration kRecovery{120'000};
  static constexpr std::size_t kMostOpenJobs = 14;

  [[nodiscard]] std::string violation() const {
    for (const auto& [team, limit] : {std::pair{"crew", 4.0}, {"guild", 3.0}}) {
      const double recorded = cluster_.gpus_by_records(team);
      const double running = cluster_.gpus_at_workers(team);
      if (recorded > limit) return team + (" has by the records " + std::to_string(recorded));
      if (running > limit) return team + (" has at the workers " + std::to_string(running));
    }
    const std::string twice = cluster_.running_twice();
    return twice.empty() ? "" : twice + " runs on two machines";
  }

  void submit_some() {
    testing::Dice& dice = cluster_.dice;
    if (cluster_.unfinished_jobs() >= kMostOpenJobs || !dice.chance(0.5)) return;
    const std::string job_id = "req-" + std::to_string(++last_job_);
    const auto gpus = static_cast<double>(dice.between(1, 2));
    JobSpec spec =
        dice.chance(0.5)
            ? testing::gang(job_id, 1, gpus, 5)
            : testing::batch(job_id, static_cast<std::uint32_t>(dice.between(1, 4)), gpus, 5);
    spec.team = TeamId(dice.chance(0.5) ? "crew" : "guild");
    spec.urgency = dice.chance(0.3) ? Urgency::urgent : Urgency::standard;
    cluster_.submit(spec);
  }

  void change_conditions() {
    testing::Dice& dice = cluster_.dice;
    for (auto& [node, controller] : cluster_.controllers) {
      if (!dice.chance(0.15)) continue;
      controller->store.condition = static_cast<Condition>(dice.between(0, 3));
    }
    if (dice.chance(0.02) && cluster_.store.get(keys::kLeader)) {
      cluster_.store.lapse(keys::kLeader);
    }
    if (dice.chance(0.02)) {
      const auto node = dice.between(1, 3);
      cluster_.start_controller("n" + std::to_string(node), node == 2 ? "b" : "a");
    }
    if (dice.chance(0.05) && last_job_ > 0) {
      cluster_.cancel("req-" + std::to_string(dice.between(1, last_job_)));
    }
  }

  void run_troubles() {
    for (Duration at{}; at < kTroubles; at = at + SimulatedCluster::kStep) {
      if (at.ms % 200 == 0) {
        submit_some();
        change_conditions();
      }
      cluster_.step();
      const std::string found = violation();
      ASSERT_EQ(found, "") << "after " << at.ms << " ms of troubles";
    }
  }

  void end_troubles() {
    cluster_.network_faults = false;
    for (auto& [node, controller] : cluster_.controllers) {
      controller->store.condition = Condition::good;
    }
  }

  SimulatedCluster cluster_{GetParam()};
  std::int64_t last_job_ = 0;
};

TEST_P(QuotaUnderFaults, NoTeamExceedsItsLimitAndEveryJobEnds) {
  for (int i = 0; i < 150; ++i) cluster_.step();
  cluster_.network_faults = true;
  run_troubles();
  if (HasFatalFailure()) return;
  end_troubles();
  for (Duration at{}; at < kRecovery && cluster_.unfinished_jobs() > 0;
       at = at + SimulatedCluster::kStep) {
    cluster_.step();
    ASSERT_EQ(violation(), "") << "after the troubles";
  }
  EXPECT_EQ(cluster_.unfinished_jobs(), 0U) << "something stayed counted, or was forgotten";
  EXPECT_GT(last_job_, 10);
}

INSTANTIATE_TEST_SUITE_P(Seeds, QuotaUnderFaults, ::testing::Range<std::uint64_t>(1, 13));

}  // namespace
}  // namespace marblevale
