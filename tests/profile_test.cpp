// The profile: team limits, packing and placement constraints.
#include "scheduling/profile.hpp"

#include "support/planner_helpers.hpp"

namespace marblevale {
namespace {

using testing::at;
using testing::batch;
using testing::gang;
using testing::item;
using testing::machine;

TEST(Profile, TheTeamsLimitIsAResourceDimension) {
  const JobSpec a = gang("req-a", 1, 3, 10);
  Profile p = testing::profile_of_one_machine(8);
  p.add_team(TeamId("crew"), {1e12, 4, 1e12});
  p.allocate(0, TeamId("crew"), {at(0), at(7), {0, 2, 0}, Owner{99}});
  const auto plan = p.earliest(item(a, 1).demand, at(0));
  ASSERT_TRUE(plan);
  EXPECT_EQ(plan->start(), at(7));
}

TEST(Profile, ATaskIsPackedWhereItStrandsNoAccelerators) {
  Profile p;
  PlanMachine lean = machine("lean", 4);
  lean.resources = {24, 4, 96};
  PlanMachine broad = machine("broad", 8);
  broad.resources = {64, 8, 512};
  const std::size_t first = p.add_machine(lean);
  const std::size_t second = p.add_machine(broad);
  // The lean machine is fuller and would win if neither machine's accelerators were stranded.
  p.allocate(first, TeamId("crew"), {WallTime{}, at(100), {6, 1, 24}, Owner{99}});
  JobSpec job = batch("req-a", 1, 1, 60);
  job.need = {6, 1, 48};
  const Plan plan = p.fit_partially(item(job, 1).demand, at(0));
  ASSERT_EQ(plan.placements.size(), 1U);
  EXPECT_EQ(plan.placements[0].machine, second)
      << "two of these fill the lean one and leave GPUs idle";
}

TEST(Profile, PlacementConstraintsAreRespected) {
  Profile p;
  p.add_machine(machine("a1", 2, "a"));
  p.add_machine(machine("b1", 2, "b"));
  p.add_machine(machine("b2", 2, "b"));
  JobSpec job = gang("req-a", 4, 1, 10);
  job.single_zone = true;
  auto plan = p.earliest(item(job, 1).demand, at(0));
  ASSERT_TRUE(plan);
  for (const Placement& s : plan->placements) EXPECT_EQ(p.machines()[s.machine].zone, ZoneId("b"));

  job.single_zone = false;
  job.spread_zones = true;
  plan = p.earliest(item(job, 1).demand, at(0));
  ASSERT_TRUE(plan);
  std::size_t in_b = 0;
  for (const Placement& s : plan->placements)
    in_b += p.machines()[s.machine].zone == ZoneId("b") ? 1 : 0;
  EXPECT_EQ(in_b, 2U);

  PlanMachine spot = machine("c1", 8, "c");
  spot.spot = true;
  job = gang("req-b", 1, 1, 10);
  EXPECT_FALSE(Profile::allowed(job, spot));
  job.allows_spot = true;
  EXPECT_TRUE(Profile::allowed(job, spot));
  job.machine_types = {"other"};
  EXPECT_FALSE(Profile::allowed(job, spot));
  job.machine_types.clear();
  job.required_zone = ZoneId("a");
  EXPECT_FALSE(Profile::allowed(job, spot));
}

TEST(Profile, ArrayTasksStartSeparatelyUnderOneGuarantee) {
  const JobSpec array = batch("req-a", 5, 1, 10);
  const auto plan = testing::profile_of_one_machine(2).earliest(item(array, 1).demand, at(0));
  ASSERT_TRUE(plan);
  EXPECT_EQ(plan->first_start(), at(0));
  EXPECT_EQ(plan->start(), at(20));
  EXPECT_EQ(plan->end(), at(30));
}

}  // namespace
}  // namespace marblevale
