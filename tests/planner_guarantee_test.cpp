// Guaranteed starts hold with arrivals, overruns of other tasks, preemption and a stream of small
// urgent jobs.
#include <memory>

#include "scheduling/planner.hpp"
#include "support/planner_helpers.hpp"

namespace marblevale {
namespace {

using testing::at;
using testing::batch;
using testing::gang;
using testing::item;
using testing::machine;

TEST(Guarantee, AnArrivalDoesNotDelayAGuaranteedStart) {
  const JobSpec granted = gang("req-a", 1, 2, 100);
  JobSpec rush = gang("req-b", 1, 2, 50);
  rush.urgency = Urgency::production;
  Reservations r{{granted.job_id, testing::reserved(10, 110)}};
  Planner planner(testing::profile_of_one_machine(2), {item(granted, 1), item(rush, 2)}, r,
                  testing::no_failed_starts(), at(0), testing::unlimited_budget);
  planner.restore();
  planner.admit_arrivals();
  EXPECT_EQ(r.at(granted.job_id).start, at(10));
  EXPECT_GE(r.at(rush.job_id).start, at(110));
}

TEST(Guarantee, OnlyAnOverrunDelaysAGuaranteedStartAndTheDelayIsReported) {
  const JobSpec a = gang("req-a", 1, 2, 10);
  Reservations r{{a.job_id, testing::reserved(5, 15)}};
  Profile p = testing::profile_of_one_machine(2);
  p.allocate(0, TeamId("x"), {at(0), at(8), {0, 2, 0}, Owner{99}});
  Planner planner(std::move(p), {item(a, 1)}, r, testing::no_failed_starts(), at(0),
                  testing::unlimited_budget);
  const auto moved = planner.restore();
  ASSERT_EQ(moved.size(), 1U);
  EXPECT_EQ(moved[0].from, at(5));
  EXPECT_EQ(moved[0].to, at(8));
}

// Reservations stay in the profile between rounds. A job that an overrun delays by seconds must not
// be placed behind jobs with later granted starts, whose reservations are still in the profile.
TEST(Guarantee, ALaterReservationYieldsToAnEarlierOneThatMoves) {
  const JobSpec a = gang("req-a", 1, 2, 10);
  const JobSpec b = gang("req-b", 1, 2, 10);
  Reservations r{{a.job_id, testing::reserved(5, 15)}, {b.job_id, testing::reserved(15, 25)}};
  Profile p = testing::profile_of_one_machine(2);
  p.allocate(0, TeamId("x"), {at(0), at(5), {0, 2, 0}, Owner{99}});
  Planner before(std::move(p), {item(a, 1), item(b, 2)}, r, testing::no_failed_starts(), at(1),
                 testing::unlimited_budget);
  EXPECT_TRUE(before.restore().empty());
  p = before.take_profile();
  p.release(Owner{99});
  p.allocate(0, TeamId("x"), {at(0), at(8), {0, 2, 0}, Owner{99}});  // the running task overruns
  Planner after(std::move(p), {item(a, 1), item(b, 2)}, r, testing::no_failed_starts(), at(2),
                testing::unlimited_budget);
  after.restore();
  EXPECT_EQ(r.at(a.job_id).start, at(8));
  EXPECT_EQ(r.at(b.job_id).start, at(18));
}

TEST(Guarantee, EveryJobIsReservedEvenIfItFitsNoMachine) {
  const JobSpec wide = gang("req-w", 1, 16, 10);
  Reservations r;
  Planner planner(testing::profile_of_one_machine(2), {item(wide, 1)}, r,
                  testing::no_failed_starts(), at(0), testing::unlimited_budget);
  planner.admit_arrivals();
  EXPECT_GT(r.at(wide.job_id).start, at(0));
}

// Room that preemption frees for a job must not go to another job that was planned on another
// machine.
TEST(Preemption, ResourcesFreedByPreemptionAreReservedForTheirJob) {
  const JobSpec wide = gang("req-wide", 1, 2, 60);
  JobSpec other = gang("req-other", 1, 1, 60);
  other.urgency = Urgency::urgent;
  Profile p = testing::profile_of_one_machine(2);
  p.add_machine(machine("n", 2));
  p.allocate(0, TeamId("x"),
             {at(0), at(6), {0, 1, 0}, Owner{98}});  // being stopped; the other GPU is idle
  p.allocate(1, TeamId("x"),
             {at(0), at(3), {0, 2, 0}, Owner{99}});  // estimated to end earlier than the stop
  Reservations r{{wide.job_id, testing::reserved(40, 100)},
                 {other.job_id, testing::reserved(30, 90)}};
  Planner planner(std::move(p), {item(wide, 1), item(other, 2)}, r, testing::no_failed_starts(),
                  at(0), testing::unlimited_budget);
  planner.restore({{wide.job_id, {MachineId("m")}}});
  EXPECT_EQ(r.at(wide.job_id).places.at(0).machine_id, MachineId("m"));
  EXPECT_EQ(r.at(wide.job_id).start, at(6));
  std::size_t cursor = 0;
  EXPECT_TRUE(planner.compress(cursor).empty());
}

/// Simulates a cluster with one planning round a second, in which each task ends at its estimated
/// end.
class SimulatedSchedule {
 public:
  explicit SimulatedSchedule(int machines) {
    for (int i = 0; i < machines; ++i) machine_ids_.push_back("m" + std::to_string(i));
  }
  void submit(JobSpec job) {
    jobs_.push_back(std::make_unique<JobSpec>(std::move(job)));
    queue_.push_back(item(*jobs_.back(), ++serial_, now_));
  }
  void run_one_second() {
    std::erase_if(running_, [&](const auto& t) { return t.second.to <= at(now_); });
    Profile p;
    for (const auto& machine_id : machine_ids_) p.add_machine(machine(machine_id, 4));
    for (const auto& [machine_id, allocation] : running_)
      p.allocate(*p.find(machine_id), TeamId("x"), allocation);
    Planner planner(std::move(p), queue_, reservations_, testing::no_failed_starts(), at(now_),
                    testing::unlimited_budget);
    planner.restore();
    planner.admit_arrivals();
    std::size_t cursor = 0;
    for (const JobStart& start : planner.compress(cursor)) {
      const auto entry = std::find_if(queue_.begin(), queue_.end(),
                                      [&](const auto& i) { return i.job_id == start.job_id; });
      began_.try_emplace(start.job_id.get(), now_);
      for (const Placement& s : start.plan.placements) {
        running_.emplace_back(
            planner.profile().machines()[s.machine].machine_id,
            Allocation{WallTime{}, s.end, entry->demand.job->need, Owner{++serial_}});
      }
      entry->demand.tasks -= static_cast<std::uint32_t>(start.task_indices.size());
      entry->task_indices.resize(entry->demand.tasks);
      if (entry->demand.tasks == 0) {
        reservations_.erase(start.job_id);
        queue_.erase(entry);
      }
    }
    now_ += 1;
  }
  [[nodiscard]] double granted(const std::string& job_id) const {
    return to_seconds(reservations_.at(JobId(job_id)).granted_start.time_since_epoch());
  }
  [[nodiscard]] std::optional<double> began(const std::string& job_id) const {
    const auto it = began_.find(job_id);
    return it == began_.end() ? std::nullopt : std::optional(it->second);
  }
  [[nodiscard]] double now() const { return now_; }

 private:
  std::vector<std::string> machine_ids_;
  std::vector<std::unique_ptr<JobSpec>> jobs_;
  std::vector<QueueItem> queue_;
  std::vector<std::pair<MachineId, Allocation>> running_;
  Reservations reservations_;
  std::map<std::string, double> began_;
  std::uint64_t serial_ = 0;
  double now_ = 1;
};

// A steady stream of small urgent jobs could take every machine that becomes free. The reservations
// of the widest gang and of the longest array must hold their machines against it.
TEST(Guarantee, TheLargestJobsStartInTimeUnderAStreamOfSmallUrgentOnes) {
  SimulatedSchedule schedule(20);
  const auto stream = [&](int n) {
    JobSpec small = gang("req-s" + std::to_string(n), 1, 4, 20 + n % 7);
    small.urgency = Urgency::urgent;
    schedule.submit(small);
  };
  int n = 0;
  for (; n < 40; ++n) stream(n);
  for (int s = 0; s < 10; ++s) schedule.run_one_second();
  schedule.submit(gang("req-wide", 16, 4, 60));
  schedule.submit(batch("req-long", 64, 1, 40));
  schedule.run_one_second();
  const double promised = schedule.granted("req-wide");
  while (schedule.now() < 240 && !(schedule.began("req-wide") && schedule.began("req-long"))) {
    stream(n++);  // one job a second that takes a machine for at least 20 s exceeds the capacity
    schedule.run_one_second();
  }
  ASSERT_TRUE(schedule.began("req-wide"));
  ASSERT_TRUE(schedule.began("req-long"));
  EXPECT_LE(*schedule.began("req-wide"), promised + 1);
}

}  // namespace
}  // namespace marblevale
