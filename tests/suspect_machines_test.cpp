// A task may fail because of its machine or because of its job. These tests check which suspect
// machines are removed and which are cleared.
#include "support/leader_loop_fixture.hpp"

namespace marblevale {
namespace {

class SuspectMachinesTest : public testing::LeaderLoopTest {
 protected:
  SuspectMachinesTest() {
    set_limit(0.5);  // too low for any new release
  }

  /// Makes vm-1 suspect because a task of req-1 failed on it; a task of req-2 has failed on vm-1 as
  /// well.
  void set_two_jobs_failed_on_one_machine() {
    suspect_machine("vm-1", "req-1");
    for (const char* job_id : {"req-1", "req-2"}) {
      submit(testing::gang(job_id, 1, 1, 60));
      set_failed(job_id, "vm-1", 1);
    }
    begin();
    run(Duration{2'000});
    ASSERT_EQ(state(), MachineState::suspect);
  }
  void set_failed(const std::string& job_id, const std::string& machine_id, std::uint32_t faults) {
    TaskRecord task;
    task.attempt = Attempt(faults);
    task.failure_count = faults;
    task.failed_on = MachineId(machine_id);
    task.since = time_.wall();
    set_task(job_id, task);
  }
  void set_running(const std::string& job_id, const std::string& machine_id) {
    TaskRecord task = bound(machine_id);
    task.failure_count = 1;
    task.failed_on = MachineId("vm-1");
    task.running_since = time_.wall();
    set_task(job_id, task);
  }
  [[nodiscard]] MachineState state() const { return machine_state("vm-1"); }
};

TEST_F(SuspectMachinesTest, TwoFailingJobsDoNotRemoveAMachine) {
  set_two_jobs_failed_on_one_machine();
  set_failed("req-1", "vm-2", 2);
  run(Duration{2'000});
  EXPECT_EQ(state(), MachineState::suspect) << "of the other job nothing is known yet";
  set_failed("req-2", "vm-3", 2);
  run(Duration{2'000});
  EXPECT_EQ(state(), MachineState::up);
  run(Duration{60'000});
  EXPECT_EQ(state(), MachineState::up);
}

TEST_F(SuspectMachinesTest, AFaultyMachineIsRemovedWhenTheSecondJobRunsElsewhere) {
  set_two_jobs_failed_on_one_machine();
  set_failed("req-1", "vm-2", 2);  // req-1 fails on every machine
  machine("vm-3");
  set_running("req-2", "vm-3");
  run(Duration{7'000});
  ASSERT_EQ(cloud_.deletion_requests.size(), 1U) << "long before the suspicion lapses";
  EXPECT_EQ(cloud_.deletion_requests[0], MachineId("vm-1"));
}

TEST_F(SuspectMachinesTest, AMachineOnWhichTwoJobsFailedIsRemovedAfterATimeout) {
  set_two_jobs_failed_on_one_machine();
  run(Duration{30'000});
  EXPECT_EQ(state(), MachineState::suspect);
  run(Duration{20'000});
  ASSERT_EQ(cloud_.deletion_requests.size(), 1U);
  EXPECT_EQ(cloud_.deletion_requests[0], MachineId("vm-1"));
}

// Guards against clearing a faulty machine. A task that fails twice on the same machine is no
// evidence that the job is at fault.
TEST_F(SuspectMachinesTest, ASuspectMachineIsClearedOnlyByAFailureElsewhere) {
  suspect_machine("vm-1", "req-1");
  submit(testing::gang("req-1", 1, 1, 60));
  TaskRecord failed;
  failed.attempt = Attempt(2);
  failed.failure_count = 2;
  failed.failed_on = MachineId("vm-1");
  set_task("req-1", failed);
  begin();
  run(Duration{5000});
  EXPECT_EQ(machine_state("vm-1"), MachineState::suspect);
  failed.failed_on = MachineId("vm-2");
  set_task("req-1", failed);
  run(Duration{2000});
  EXPECT_EQ(machine_state("vm-1"), MachineState::up);
}

TEST_F(SuspectMachinesTest, ASuspectMachineIsRemovedWhenItsTaskRunsElsewhere) {
  suspect_machine("vm-1", "req-1");
  machine("vm-2");
  submit(testing::gang("req-1", 1, 1, 60));
  TaskRecord task = bound("vm-2");
  task.failure_count = 1;
  task.failed_on = MachineId("vm-1");
  task.running_since = time_.wall() + Duration{500};
  set_task("req-1", task);
  begin();
  run(Duration{10'000});
  ASSERT_EQ(cloud_.deletion_requests.size(), 1U);
  EXPECT_EQ(cloud_.deletion_requests[0], MachineId("vm-1"));
}

}  // namespace
}  // namespace marblevale
