// Whose fault it is that tasks fail: a machine's, or the jobs' that were submitted with a mistake.
#include "support/leader_loop_fixture.hpp"

namespace marblevale {
namespace {

class SuspectMachinesTest : public testing::LeaderLoopTest {
 protected:
  SuspectMachinesTest() {
    settings_.teams[0].gpus = settings_.teams[0].gpus_max = 0.5;  // nothing new is released
  }

  /// vm-1 is suspect since a task of req-1 failed on it; a task of req-2 failed there as well.
  void two_jobs_fail_on_one_machine() {
    MachineRecord suspect;
    suspect.machine_id = MachineId("vm-1");
    suspect.machine_type = "g8";
    suspect.zone = ZoneId("a");
    suspect.state = MachineState::suspect;
    suspect.blamed = JobId("req-1");
    suspect.since = time_.wall();
    store_.put_machine(suspect);
    for (const char* job_id : {"req-1", "req-2"}) {
      submit(testing::gang(job_id, 1, 1, 60));
      fails(job_id, "vm-1", 1);
    }
    begin();
    run(Duration{2'000});
    ASSERT_EQ(state(), MachineState::suspect);
  }
  void fails(const std::string& job_id, const std::string& machine_id, std::uint32_t faults) {
    TaskRecord task;
    task.attempt = Attempt(faults);
    task.faults = faults;
    task.failed_on = MachineId(machine_id);
    task.since = time_.wall();
    set_task(job_id, task);
  }
  void runs(const std::string& job_id, const std::string& machine_id) {
    TaskRecord task = bound(machine_id);
    task.faults = 1;
    task.failed_on = MachineId("vm-1");
    task.running = time_.wall();
    set_task(job_id, task);
  }
  [[nodiscard]] MachineState state() const {
    return cache_.records().machines.at(MachineId("vm-1")).record.state;
  }
};

TEST_F(SuspectMachinesTest, TwoMistakenJobsCondemnNoMachine) {
  two_jobs_fail_on_one_machine();
  fails("req-1", "vm-2", 2);
  run(Duration{2'000});
  EXPECT_EQ(state(), MachineState::suspect) << "of the other job nothing is known yet";
  fails("req-2", "vm-3", 2);
  run(Duration{2'000});
  EXPECT_EQ(state(), MachineState::up);
  run(Duration{60'000});
  EXPECT_EQ(state(), MachineState::up);
}

TEST_F(SuspectMachinesTest, ASickMachineIsFoundByTheSecondJobThatRunsElsewhere) {
  two_jobs_fail_on_one_machine();
  fails("req-1", "vm-2", 2);  // this one has a mistake of its own
  machine("vm-3");
  runs("req-2", "vm-3");
  run(Duration{7'000});
  ASSERT_EQ(cloud_.removed.size(), 1U) << "long before the suspicion lapses";
  EXPECT_EQ(cloud_.removed[0], MachineId("vm-1"));
}

TEST_F(SuspectMachinesTest, OnWhichTwoJobsFailedThatRunNowhereElseIsGivenUpInTheEnd) {
  two_jobs_fail_on_one_machine();
  run(Duration{30'000});
  EXPECT_EQ(state(), MachineState::suspect);
  run(Duration{20'000});
  ASSERT_EQ(cloud_.removed.size(), 1U);
  EXPECT_EQ(cloud_.removed[0], MachineId("vm-1"));
}

}  // namespace
}  // namespace marblevale
