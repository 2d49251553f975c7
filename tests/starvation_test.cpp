// Finds jobs that wait although a machine fits them, and ignores jobs that have a reason to wait.
#include "scheduling/starvation.hpp"

#include "support/helpers.hpp"

namespace marblevale {
namespace {

class StarvationTest : public ::testing::Test {
 protected:
  StarvationTest() {
    MachineType type;
    type.name = "g8";
    type.resources = {96, 8, 768};
    records_.types = Versioned<std::vector<MachineType>>{{type}, ModRevision(1)};
    Team team;
    team.name = TeamId("crew");
    team.max_gpus = 8;
    settings_.teams = {team};
  }

  void machine(const std::string& machine_id, const std::string& zone,
               MachineState state = MachineState::up) {
    MachineRecord m;
    m.machine_id = MachineId(machine_id);
    m.machine_type = "g8";
    m.zone = ZoneId(zone);
    m.state = state;
    m.since = testing::at(0);
    records_.machines[m.machine_id] = {m, ModRevision(1)};
  }
  void job(const JobSpec& spec, double accepted = 0) {
    records_.jobs[spec.job_id] = {JobRecord{spec, testing::at(accepted), std::nullopt},
                                  ModRevision(1)};
  }
  void place(const std::string& job_id, const std::string& machine_id, const std::string& zone) {
    SliceRecord slice;
    slice.job_id = JobId(job_id);
    TaskRecord task;
    task.state = TaskState::bound;
    task.machine_id = MachineId(machine_id);
    task.zone = ZoneId(zone);
    slice.tasks.assign(1, task);
    slice.tasks.resize(records_.jobs.at(slice.job_id).record.spec.task_count);
    records_.slices[{slice.job_id, 0}] = {slice, ModRevision(1)};
    records_.placed[task.machine_id][TaskId{slice.job_id, 0}] = Attempt(1);
  }
  [[nodiscard]] std::vector<StarvedJob> find(std::size_t most = 32) const {
    return find_starved(records_, settings_, testing::at(100), Duration{30'000}, Duration{60'000},
                        most);
  }

  Records records_;
  Settings settings_;
};

TEST_F(StarvationTest, AJobThatFitsAnIdleMachineIsFound) {
  machine("vm-1", "a");
  job(testing::gang("req-1", 2, 4, 60));
  job(testing::batch("req-2", 1, 4, 60), 10);
  job(testing::batch("req-3", 1, 4, 60), 90);  // has waited for less than 30 s
  const auto found = find();
  ASSERT_EQ(found.size(), 2U);
  EXPECT_EQ(found[0].job_id, JobId("req-1"));
  EXPECT_EQ(found[0].machine_id, MachineId("vm-1"));
  EXPECT_EQ(found[0].waited, Duration{100'000});
  EXPECT_EQ(find(1).size(), 1U) << "only the oldest";
}

TEST_F(StarvationTest, AJobThatFitsNowhereIsNotFound) {
  machine("vm-1", "a");
  machine("vm-2", "b");
  job(testing::gang("req-1", 1, 6, 60));
  place("req-1", "vm-1", "a");
  JobSpec required_zone = testing::batch("req-2", 1, 4, 60);
  required_zone.required_zone = ZoneId("a");
  required_zone.team = TeamId("another");
  job(required_zone);
  JobSpec together = testing::gang("req-3", 3, 4, 60);
  together.single_zone = true;
  together.team = TeamId("another");
  job(together);
  JobSpec spread = testing::gang("req-4", 2, 4, 60);
  spread.spread_zones = true;
  spread.team = TeamId("another");
  job(spread);
  EXPECT_TRUE(find().empty()) << "room is in zone b only: for two tasks of four GPUs";
}

TEST_F(StarvationTest, AJobOfATeamAtItsLimitIsNotFound) {
  machine("vm-1", "a");
  machine("vm-2", "a");
  job(testing::batch("req-1", 1, 6, 60));
  place("req-1", "vm-1", "a");
  job(testing::gang("req-2", 1, 4, 60));
  EXPECT_TRUE(find().empty());
  settings_.teams[0].max_gpus = 10;
  EXPECT_EQ(find().size(), 1U);
}

TEST_F(StarvationTest, AnUnusableMachineIsNamedWhenNoOtherFits) {
  machine("vm-1", "a", MachineState::suspect);
  job(testing::gang("req-1", 1, 4, 60));
  ASSERT_EQ(find().size(), 1U);
  EXPECT_EQ(find()[0].state, MachineState::suspect);
  machine("vm-2", "a");
  EXPECT_EQ(find()[0].machine_id, MachineId("vm-2"));
}

TEST_F(StarvationTest, AGangWithAPlacedTaskIsNotFound) {
  machine("vm-1", "a");
  job(testing::gang("req-1", 2, 1, 60));
  place("req-1", "vm-lost", "b");
  EXPECT_TRUE(find().empty());
  job(testing::batch("req-2", 2, 1, 60));
  place("req-2", "vm-lost", "b");
  EXPECT_EQ(find().size(), 1U) << "an array's next task does";
}

}  // namespace
}  // namespace marblevale
