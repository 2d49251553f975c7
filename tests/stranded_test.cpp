// Jobs that wait beside a machine that fits, as the records have it.
#include "planner/stranded.hpp"

#include "helpers.hpp"

namespace marblevale {
namespace {

class StrandedTest : public ::testing::Test {
 protected:
  StrandedTest() {
    MachineType type;
    type.name = "g8";
    type.room = {96, 8, 768};
    records_.types = Stored<std::vector<MachineType>>{{type}, Stamp(1)};
    Team team;
    team.name = TeamId("crew");
    team.gpus_max = 8;
    settings_.teams = {team};
  }

  void machine(const std::string& host, const std::string& zone,
               MachineState state = MachineState::up) {
    MachineRecord m;
    m.host = HostId(host);
    m.build = "g8";
    m.zone = ZoneId(zone);
    m.state = state;
    m.since = testing::at(0);
    records_.machines[m.host] = {m, Stamp(1)};
  }
  void job(const JobSpec& spec, double accepted = 0) {
    records_.jobs[spec.uid] = {JobRecord{spec, testing::at(accepted), std::nullopt}, Stamp(1)};
  }
  void place(const std::string& uid, const std::string& host, const std::string& zone) {
    SliceRecord slice;
    slice.uid = Uid(uid);
    TaskRecord task;
    task.state = TaskState::bound;
    task.host = HostId(host);
    task.zone = ZoneId(zone);
    slice.tasks.assign(1, task);
    slice.tasks.resize(records_.jobs.at(slice.uid).record.spec.parts);
    records_.slices[{slice.uid, 0}] = {slice, Stamp(1)};
    records_.placed[task.host][TaskId{slice.uid, 0}] = Attempt(1);
  }
  [[nodiscard]] std::vector<Stranded> find(std::size_t most = 32) const {
    return find_stranded(records_, settings_, testing::at(100), Span{30'000}, Span{60'000}, most);
  }

  Records records_;
  Settings settings_;
};

TEST_F(StrandedTest, AJobBesideAMachineThatFitsIsFound) {
  machine("vm-1", "a");
  job(testing::gang("req-1", 2, 4, 60));
  job(testing::batch("req-2", 1, 4, 60), 10);
  job(testing::batch("req-3", 1, 4, 60), 90);  // has not waited for long
  const auto found = find();
  ASSERT_EQ(found.size(), 2U);
  EXPECT_EQ(found[0].uid, Uid("req-1"));
  EXPECT_EQ(found[0].host, HostId("vm-1"));
  EXPECT_EQ(found[0].waited, Span{100'000});
  EXPECT_EQ(find(1).size(), 1U) << "only the oldest";
}

TEST_F(StrandedTest, AJobThatFitsNowhereIsNot) {
  machine("vm-1", "a");
  machine("vm-2", "b");
  job(testing::gang("req-1", 1, 6, 60));
  place("req-1", "vm-1", "a");
  JobSpec district = testing::batch("req-2", 1, 4, 60);
  district.district = ZoneId("a");
  district.crew = TeamId("another");
  job(district);
  JobSpec together = testing::gang("req-3", 3, 4, 60);
  together.together = true;
  together.crew = TeamId("another");
  job(together);
  JobSpec spread = testing::gang("req-4", 2, 4, 60);
  spread.spread = true;
  spread.crew = TeamId("another");
  job(spread);
  EXPECT_TRUE(find().empty()) << "room is in zone b only: for two tasks of four GPUs";
}

TEST_F(StrandedTest, ATeamAtItsLimitWaits) {
  machine("vm-1", "a");
  machine("vm-2", "a");
  job(testing::batch("req-1", 1, 6, 60));
  place("req-1", "vm-1", "a");
  job(testing::gang("req-2", 1, 4, 60));
  EXPECT_TRUE(find().empty());
  settings_.teams[0].gpus_max = 10;
  EXPECT_EQ(find().size(), 1U);
}

TEST_F(StrandedTest, AMachineThatStaysOutOfUseIsNamedWhereNoneElseFits) {
  machine("vm-1", "a", MachineState::suspect);
  job(testing::gang("req-1", 1, 4, 60));
  ASSERT_EQ(find().size(), 1U);
  EXPECT_EQ(find()[0].state, MachineState::suspect);
  machine("vm-2", "a");
  EXPECT_EQ(find()[0].host, HostId("vm-2"));
}

TEST_F(StrandedTest, AGangOfWhichATaskStandsDoesNotWait) {
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
