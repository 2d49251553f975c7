// Compression of the schedule after a job ends early, as in figures 1 and 3 of the paper. One
// machine's GPUs stand for the processors of the figures.
#include "scheduling/planner.hpp"
#include "support/planner_helpers.hpp"

namespace marblevale {
namespace {

using testing::at;
using testing::batch;
using testing::gang;
using testing::item;
using testing::machine;

// Figure 1: job A (two processors) ended early. E is first in the queue but can't start without
// delaying C, so compression goes on to C. The start of C frees its reservation, but E has no room
// beside C's run.
TEST(Compression, ReturnsToTheFrontAfterEachMove) {
  const JobSpec c = gang("req-c", 1, 2, 10);
  const JobSpec e = gang("req-e", 1, 2, 10);
  Reservations r{{c.job_id, testing::reserved(4, 14)}, {e.job_id, testing::reserved(14, 24)}};
  Profile p = testing::profile_of_one_machine(2);
  std::vector<QueueItem> queue{item(e, 1, 0), item(c, 2, 1)};
  Planner planner(std::move(p), queue, r, testing::no_failed_starts(), at(0),
                  testing::unlimited_budget);
  EXPECT_TRUE(planner.restore().empty());
  std::size_t cursor = 0;
  // E is first in the queue, but its run would overlap C's reservation at 4. C can start now.
  EXPECT_EQ(testing::started_jobs(planner.compress(cursor)), std::vector<std::string>{"req-c"});
}

TEST(Compression, RetriesAHigherPriorityJobAfterAMove) {
  // Three processors are idle. `high` (1 wide, 8 long) is reserved at 20 and `low` (2 wide, 9 long)
  // at 2. Both fit beside each other now, so `high` starts first and `low` after it.
  const JobSpec high = gang("req-high", 1, 1, 8);
  const JobSpec low = gang("req-low", 1, 2, 9);
  Reservations r{{high.job_id, testing::reserved(20, 28)}, {low.job_id, testing::reserved(2, 11)}};
  Profile p = testing::profile_of_one_machine(3);
  p.allocate(0, TeamId("x"), {at(0), at(1), {0, 0, 0}, Owner{77}});
  Planner planner(std::move(p), {item(high, 1), item(low, 2)}, r, testing::no_failed_starts(),
                  at(0), testing::unlimited_budget);
  planner.restore();
  std::size_t cursor = 0;
  EXPECT_EQ(testing::started_jobs(planner.compress(cursor)),
            (std::vector<std::string>{"req-high", "req-low"}));
}

// Figure 3: after an early end, only jobs that can start now are moved. F keeps its planned start
// although an earlier one is possible, and the hole remains.
TEST(DelayedCompression, LeavesHolesInWhichNoJobCanStartNow) {
  const JobSpec d = gang("req-d", 1, 1, 10);
  const JobSpec f = gang("req-f", 1, 3, 10);
  Reservations r{{d.job_id, testing::reserved(6, 16)}, {f.job_id, testing::reserved(16, 26)}};
  Profile p = testing::profile_of_one_machine(3);
  p.allocate(0, TeamId("x"), {at(0), at(4), {0, 1, 0}, Owner{99}});  // C runs until 4
  Planner planner(std::move(p), {item(d, 1), item(f, 2)}, r, testing::no_failed_starts(), at(0),
                  testing::unlimited_budget);
  planner.restore();
  std::size_t cursor = 0;
  EXPECT_EQ(testing::started_jobs(planner.compress(cursor)), std::vector<std::string>{"req-d"});
  EXPECT_EQ(r.at(f.job_id).start, at(16));
}

// Section 2.2: a new job of lower priority must not take a hole into which a job of higher priority
// could move.
TEST(DelayedCompression, AnArrivalMovesHigherPriorityJobsThatItCouldDelay) {
  JobSpec f = gang("req-f", 1, 3, 10);
  f.urgency = Urgency::urgent;
  const JobSpec fresh = gang("req-new", 1, 3, 8);
  Reservations r{{f.job_id, testing::reserved(16, 26)}};
  Profile p = testing::profile_of_one_machine(3);
  p.allocate(0, TeamId("x"), {at(0), at(4), {0, 1, 0}, Owner{99}});
  Planner planner(std::move(p), {item(f, 1), item(fresh, 2)}, r, testing::no_failed_starts(), at(0),
                  testing::unlimited_budget);
  planner.restore();
  EXPECT_TRUE(planner.admit_arrivals());
  EXPECT_EQ(r.at(f.job_id).start, at(4));
  EXPECT_EQ(r.at(fresh.job_id).start, at(14));
}

TEST(DelayedCompression, AnArrivalOfHigherPriorityTakesTheHole) {
  const JobSpec f = gang("req-f", 1, 3, 10);
  JobSpec fresh = gang("req-new", 1, 3, 8);
  fresh.urgency = Urgency::urgent;
  Reservations r{{f.job_id, testing::reserved(16, 26)}};
  Profile p = testing::profile_of_one_machine(3);
  p.allocate(0, TeamId("x"), {at(0), at(4), {0, 1, 0}, Owner{99}});
  Planner planner(std::move(p), {item(f, 1), item(fresh, 2)}, r, testing::no_failed_starts(), at(0),
                  testing::unlimited_budget);
  planner.restore();
  planner.admit_arrivals();
  EXPECT_EQ(r.at(fresh.job_id).start, at(4));
  EXPECT_EQ(r.at(f.job_id).start, at(16));
}

/// Two zones with room for all tasks of a job that already has tasks in zone b.
struct TwoZones {
  TwoZones() {
    profile.add_machine(machine("a1", 4, "a"));
    profile.add_machine(machine("b1", 4, "b"));
    profile.add_machine(machine("b2", 4, "b"));
  }
  /// Returns how many tasks start in zone b in this round.
  std::size_t started_in_b(const QueueItem& waiting, Reservations& reservations) {
    Planner planner(std::move(profile), {waiting}, reservations, testing::no_failed_starts(),
                    at(100), testing::unlimited_budget);
    planner.restore();
    std::size_t cursor = 0;
    std::size_t in_b = 0;
    for (const JobStart& start : planner.compress(cursor)) {
      for (const Placement& place : start.plan.placements) {
        in_b += planner.profile().machines()[place.machine].zone == ZoneId("b") ? 1 : 0;
      }
    }
    return in_b;
  }
  Profile profile;
};

// Between the time when a reservation is made and its start, the job's other tasks may have been
// placed in other zones, so the reserved zones must be checked again. Without the check, 3 of 4
// replicas were started in one zone.
TEST(Compression, ADueReservationRespectsTheSpreadConstraint) {
  TwoZones zones;
  JobSpec job = batch("req-a", 4, 1, 60);
  job.shape = JobShape::service;
  job.spread_zones = true;
  QueueItem waiting = item(job, 1);
  waiting.task_indices = {1, 2, 3};
  waiting.demand.tasks = 3;
  waiting.demand.placed_tasks = {{ZoneId("b"), 1}};
  Reservations reservations{{job.job_id, testing::reserved(90, 150, {"b1", "b2", "a1"})}};
  EXPECT_LE(zones.started_in_b(waiting, reservations), 1U);
}

TEST(Compression, ARestoredReservationRespectsTheSpreadConstraint) {
  TwoZones zones;
  JobSpec job = batch("req-a", 4, 1, 60);
  job.spread_zones = true;
  QueueItem waiting = item(job, 1);
  waiting.task_indices = {2, 3};
  waiting.demand.tasks = 2;
  waiting.demand.placed_tasks = {{ZoneId("b"), 2}};
  Reservations reservations{{job.job_id, testing::reserved(200, 260, {"b1", "b2"})}};
  Planner planner(std::move(zones.profile), {waiting}, reservations, testing::no_failed_starts(),
                  at(100), testing::unlimited_budget);
  planner.restore();
  for (const Reservation::Place& place : reservations.at(job.job_id).places) {
    EXPECT_EQ(place.machine_id, MachineId("a1")) << "a place that can't be used is no guarantee";
  }
}

TEST(Compression, ADueReservationRespectsTheTogetherConstraint) {
  TwoZones zones;
  JobSpec job = batch("req-a", 2, 1, 60);
  job.single_zone = true;
  QueueItem waiting = item(job, 1);
  waiting.task_indices = {1};
  waiting.demand.tasks = 1;
  waiting.demand.zone = ZoneId("b");
  waiting.demand.placed_tasks = {{ZoneId("b"), 1}};
  Reservations reservations{{job.job_id, testing::reserved(90, 150, {"a1"})}};
  EXPECT_EQ(zones.started_in_b(waiting, reservations), 1U);
}

TEST(PlanningRound, StopsAtItsBudgetAndContinuesInTheNextRound) {
  constexpr int kJobs = 4;
  std::vector<JobSpec> jobs;
  jobs.reserve(kJobs);
  for (int i = 0; i < kJobs; ++i) jobs.push_back(gang("req-" + std::to_string(i), 1, 1, 10 + i));
  Reservations r;
  for (const auto& job : jobs) r.emplace(job.job_id, testing::reserved(50, 60));
  int left = 1;
  const auto spent = [&left](double) { return left-- <= 0; };
  std::vector<QueueItem> queue;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    queue.push_back(item(jobs[i], i + 1));
    queue.back().not_before = i < 2 ? at(100) : at(0);  // the first two can't start before 100
  }
  std::size_t cursor = 0;
  Planner first(testing::profile_of_one_machine(4), queue, r, testing::no_failed_starts(), at(0),
                spent);
  EXPECT_TRUE(first.compress(cursor).empty());
  EXPECT_EQ(cursor, 1U);
  Planner second(testing::profile_of_one_machine(4), queue, r, testing::no_failed_starts(), at(0),
                 testing::unlimited_budget);
  EXPECT_EQ(testing::started_jobs(second.compress(cursor)),
            (std::vector<std::string>{"req-2", "req-3"}));
  EXPECT_EQ(cursor, 0U);
}

}  // namespace
}  // namespace marblevale
