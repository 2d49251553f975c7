// Placement of service job replicas, which have no end, on machines with later reservations.
#include "support/planner_helpers.hpp"

namespace marblevale {
namespace {

/// One machine of 100 CPUs. 60 CPUs are in use for another 50 s; after that the whole machine is
/// reserved.
class ServiceJobPlanTest : public ::testing::Test {
 protected:
  ServiceJobPlanTest() {
    profile_.add_machine(testing::machine("m", 8));
    Plan running{{{0, WallTime{}, testing::at(150)}}};
    JobSpec running_job = testing::gang("req-0", 1, 8, 150);
    running_job.need.cpus = 60;
    profile_.allocate(running, running_job, Owner{99});
    later_ = testing::gang("req-later", 1, 1, 60);
    later_.need.cpus = 100;
    Reservation r;
    r.places = {{MachineId("m"), testing::at(150), testing::at(210)}};
    r.granted_start = r.start = testing::at(150);
    r.end = testing::at(210);
    r.changed = false;
    reservations_[later_.job_id] = r;
    replica_ = testing::service_job("req-live", 1, 0);
  }

  std::vector<JobStart> run_round(std::vector<ReservationDelay>* moved = nullptr) {
    std::vector<QueueItem> queue{testing::item(replica_, 1, 100), testing::item(later_, 2, 50)};
    if (started_) queue.erase(queue.begin());
    Planner planner(std::move(profile_), queue, reservations_, failed_, testing::at(100),
                    testing::unlimited_budget);
    const auto all = planner.restore();
    if (moved != nullptr) *moved = all;
    planner.admit_arrivals();
    std::size_t cursor = 0;
    auto starts = planner.compress(cursor);
    profile_ = planner.take_profile();
    if (!starts.empty()) {
      // The next round sees the replica as running, without an end.
      started_ = true;
      reservations_.erase(replica_.job_id);
      profile_.release(Owner{1});
      Plan running = starts.front().plan;
      for (Placement& place : running.placements) place.start = WallTime{};
      profile_.allocate(running, replica_, Owner{98});
    }
    return starts;
  }

  Profile profile_;
  JobSpec later_;
  JobSpec replica_;
  Reservations reservations_;
  FailedStarts failed_;
  bool started_ = false;
};

// A replica has no end, so it conflicts with every later reservation on its machine. Unless it may
// displace reservations, it would wait beside idle capacity for as long as reservations exist.
TEST_F(ServiceJobPlanTest, AReplicaDisplacesALaterReservationOfLowerUrgency) {
  const auto starts = run_round();
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].job_id, replica_.job_id);
  std::vector<ReservationDelay> moved;
  EXPECT_TRUE(run_round(&moved).empty());
  EXPECT_TRUE(reservations_.at(later_.job_id).places.empty() ||
              reservations_.at(later_.job_id).start > testing::at(150))
      << "the displaced reservation is placed again";
}

TEST_F(ServiceJobPlanTest, AReservationOfTheSameUrgencyIsNotDisplaced) {
  later_.urgency = Urgency::production;
  EXPECT_TRUE(run_round().empty());
  EXPECT_EQ(reservations_.at(later_.job_id).start, testing::at(150));
}

// When a reservation of the same urgency keeps the replica from starting, reservations of lower
// urgency must not be displaced.
TEST_F(ServiceJobPlanTest, NoReservationIsDisplacedWhenTheReplicaStillCannotStart) {
  JobSpec equal = later_;
  equal.job_id = JobId("req-equal");
  equal.urgency = Urgency::production;
  Reservation r = reservations_.at(later_.job_id);
  r.places[0].start = testing::at(210);
  r.places[0].end = testing::at(270);
  r.granted_start = r.start = testing::at(210);
  r.end = testing::at(270);
  reservations_[equal.job_id] = r;
  std::vector<QueueItem> queue{testing::item(replica_, 1, 100), testing::item(later_, 2, 50),
                               testing::item(equal, 3, 60)};
  Planner planner(std::move(profile_), queue, reservations_, failed_, testing::at(100),
                  testing::unlimited_budget);
  planner.restore();
  planner.admit_arrivals();
  std::size_t cursor = 0;
  EXPECT_TRUE(planner.compress(cursor).empty());
  profile_ = planner.take_profile();
  EXPECT_TRUE(profile_.reservation_still_fits(Owner{2})) << "its reservation stands as before";
  EXPECT_TRUE(profile_.reservation_still_fits(Owner{3}));
}

TEST_F(ServiceJobPlanTest, AReplicaWaitsForRunningTasks) {
  replica_.need.cpus = 50;
  EXPECT_TRUE(run_round().empty());
  EXPECT_EQ(reservations_.at(later_.job_id).start, testing::at(150));
}

}  // namespace
}  // namespace marblevale
