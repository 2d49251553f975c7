// Planning at the size of the largest deployment. The cost is bounded as a count of examined
// timelines instead of a time, which would depend on the machine.
#include "scheduling/planner.hpp"
#include "support/planner_helpers.hpp"

namespace marblevale {
namespace {

using testing::at;
using testing::batch;
using testing::gang;
using testing::item;
using testing::machine;

// Builds without NDEBUG (as with sanitizers) are many times slower and plan a smaller cluster. The
// bound is per machine and job in both.
#ifdef NDEBUG
constexpr int kMachines = 4200;
constexpr int kJobs = 1000;
#else
constexpr int kMachines = 620;
constexpr int kJobs = 200;
#endif
constexpr std::uint64_t kMaxExamined = 10ULL * kMachines * kJobs;

/// Machines of 4 and 8 GPUs in three zones.
Profile large_cluster() {
  Profile p;
  for (int i = 0; i < kMachines; ++i) {
    const std::string zone(1, static_cast<char>('a' + i % 3));
    PlanMachine m = machine("vm-" + std::to_string(i), i % 2 == 0 ? 4 : 8, zone);
    m.machine_type = i % 2 == 0 ? "g4" : "g8";
    m.spot = i % 5 == 0;
    p.add_machine(std::move(m));
  }
  return p;
}

std::vector<JobSpec> many_jobs(int count) {
  std::vector<JobSpec> jobs;
  constexpr std::array<std::uint32_t, 5> kWidths{1, 2, 4, 8, 16};
  for (int i = 0; i < count; ++i) {
    const std::string job_id = "req-" + std::to_string(i);
    if (i % 4 == 0) {
      jobs.push_back(batch(job_id, 60, 1, 60 + i % 50));
    } else {
      jobs.push_back(gang(job_id, kWidths.at(static_cast<std::size_t>(i) % 5), 4, 80 + i % 70));
      jobs.back().single_zone = true;
    }
    jobs.back().allows_spot = i % 2 == 0;
  }
  return jobs;
}

TEST(PlannerScale, EveryJobOfALargeQueueIsReservedAtABoundedCost) {
  const auto jobs = many_jobs(kJobs);
  std::vector<QueueItem> queue;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    queue.push_back(item(jobs[i], i + 1, static_cast<double>(i) / 100));
  }
  Reservations r;
  Planner planner(large_cluster(), queue, r, testing::no_failed_starts(), at(100),
                  testing::unlimited_budget);
  EXPECT_TRUE(planner.admit_arrivals());
  EXPECT_EQ(r.size(), jobs.size());
  const auto admitted = planner.profile().candidates_examined();
  // A search visits each machine a few times per job, not once for each moment that it tries,
  // however full the profile is.
  EXPECT_LT(admitted, kMaxExamined);
  std::size_t cursor = 0;
  const auto starts = planner.compress(cursor);
  EXPECT_EQ(cursor, 0U);
  EXPECT_GT(starts.size(), kJobs / 10);
  EXPECT_LT(planner.profile().candidates_examined() - admitted, kMaxExamined);
}

}  // namespace
}  // namespace marblevale
