// Scale out, scale in and lost machines. The cloud's answers are missing, late or stale:
// provisioning requests and deletions without an answer, and outdated machine lists.
#include "support/leader_loop_fixture.hpp"

namespace marblevale {
namespace {

class AutoscalerTest : public testing::LeaderLoopTest {};

TEST_F(AutoscalerTest, ManyMachinesThatFallSilentTogetherAreDeletedLater) {
  for (int i = 0; i < 12; ++i)
    machine_in_state("vm-" + std::to_string(100 + i), MachineState::silent);
  begin();
  run(Duration{24'000});
  EXPECT_TRUE(cloud_.deletion_requests.empty()) << "they may be back";
  run(Duration{8'000});
  EXPECT_EQ(cloud_.deletion_requests.size(), 12U);
}

TEST_F(AutoscalerTest, AMachineMissingFromAStaleListIsNotDeleted) {
  settings_.list_lag = Duration{4'000};
  machine("vm-1");
  cloud_.machine_list.emplace();
  cloud_.machine_list->machines.push_back({MachineId("vm-1"), "", "g8", ZoneId("a"), false,
                                           ProvisioningStatus::running, Duration{60'000}});
  begin();
  run(Duration{3'000});
  cloud_.machine_list->machines.clear();
  run(Duration{7'000});
  EXPECT_TRUE(cloud_.deletion_requests.empty()) << "the list may be older than the one that had it";
  run(Duration{5'000});
  EXPECT_EQ(cloud_.deletion_requests, std::vector<MachineId>{MachineId("vm-1")});
}

TEST_F(AutoscalerTest, AMachineWhoseCancelledTaskDoesNotEndIsDeleted) {
  machine("vm-1");
  JobSpec spec = testing::gang("req-1", 1, 1, 60);
  submit(spec);
  set_task("req-1", bound("vm-1"));
  begin();
  JobRecord job{spec, time_.wall(), time_.wall()};
  store_.put(keys::job(spec.job_id), encode(job));
  run(Duration{10'000});
  EXPECT_TRUE(cloud_.deletion_requests.empty());
  run(Duration{15'000});
  ASSERT_EQ(cloud_.deletion_requests.size(), 1U);
  EXPECT_EQ(machine_state("vm-1"), MachineState::gone);
}

TEST_F(AutoscalerTest, AnUnansweredDeletionIsNoEvidenceOfTermination) {
  machine("vm-1");
  cloud_.confirms_deletions = false;
  begin();
  run(Duration{100});
  autoscaler_.request_deletion(MachineId("vm-1"), DeletionReason::idle);
  run(Duration{3000});
  EXPECT_EQ(machine_state("vm-1"), MachineState::deleting);
  cloud_.confirms_deletions = true;
  run(Duration{3000});
  EXPECT_EQ(machine_state("vm-1"), MachineState::gone);
}

TEST_F(AutoscalerTest, ProvisioningRequestNamesAreUnique) {
  begin();
  submit(testing::gang("req-1", 1, 1, 60));
  run(Duration{60'000});
  ASSERT_GE(cloud_.provisioning_requests.size(),
            2U);  // refused for lack of capacity, then requested under a new name
  const std::set<std::string> names(cloud_.provisioning_requests.begin(),
                                    cloud_.provisioning_requests.end());
  EXPECT_EQ(names.size(), cloud_.provisioning_requests.size());
}

// Guards against a job that waits forever: its task is placed on a machine without a record, so no
// controller can prove that the task has ended. The leader deletes the machine, and the cloud's
// answer is the evidence of termination.
TEST_F(AutoscalerTest, AMachineWithoutARecordIsDeletedToFreeItsTask) {
  submit(testing::gang("req-1", 1, 1, 60));
  set_task("req-1", bound("vm-lost"));
  begin();
  run(Duration{10'000});
  EXPECT_TRUE(cloud_.deletion_requests.empty());
  run(Duration{20'000});
  ASSERT_FALSE(cloud_.deletion_requests.empty());
  EXPECT_EQ(cloud_.deletion_requests[0], MachineId("vm-lost"));
  EXPECT_EQ(machine_state("vm-lost"), MachineState::gone);
}

// Guards against a machine that stays in the cloud without a record. A provisioning request gets no
// answer, its retry is refused for lack of capacity, and its record is removed; then the cloud
// executes the first request. The machine is on the cloud's list but has no record.
TEST_F(AutoscalerTest, AMachineProvisionedAfterItsRequestWasRefusedIsDeleted) {
  begin();
  submit(testing::gang("req-1", 1, 2, 60));
  run(Duration{3'000});
  ASSERT_FALSE(cloud_.provisioning_requests.empty());
  EXPECT_TRUE(cache_.records().provisioning_requests.empty()) << "refused: there is no capacity";
  store_.remove(keys::job(JobId("req-1")));
  cloud_.machine_list.emplace();
  cloud_.machine_list->machines.push_back({MachineId("vm-late"), "", "g8", ZoneId("a"), false,
                                           ProvisioningStatus::running, Duration{600'000}});
  run(Duration{10'000});
  EXPECT_EQ(cloud_.deletion_requests, std::vector<MachineId>{MachineId("vm-late")});
}

// Guards against jobs that are released again and again to a machine that no longer exists. A late
// commit can restore the page with the record of a deleted machine, and only the machine list shows
// that the machine is gone.
TEST_F(AutoscalerTest, AnUpMachineMissingFromTheMachineListIsDeleted) {
  settings_.list_lag = Duration{4'000};
  store_.put_machine(testing::machine_record("vm-1", time_.wall() - Duration{600'000}));
  machine("vm-2", "a");  // too new to be on the list
  cloud_.machine_list.emplace();
  begin();
  run(Duration{10'000});
  EXPECT_EQ(cloud_.deletion_requests, std::vector<MachineId>{MachineId("vm-1")});
  EXPECT_EQ(machine_state("vm-1"), MachineState::gone);
}

TEST_F(AutoscalerTest, MachinesAreProvisionedInTheZoneRequiredByAJob) {
  use_two_zones();
  set_limit(100);
  machine("vm-1");
  JobSpec required_zone = testing::gang("req-1", 4, 4, 60);
  required_zone.required_zone = ZoneId("b");
  submit(required_zone);
  // An array that must stay in one zone, with a task that is recorded as bound in zone b.
  JobSpec array_in_one_zone = testing::batch("req-2", 2, 8, 60);
  array_in_one_zone.single_zone = true;
  submit(array_in_one_zone);
  SliceRecord slice =
      testing::slice_record(array_in_one_zone.job_id, {bound("vm-lost"), TaskRecord{}});
  slice.tasks[0].zone = ZoneId("b");
  put_slice(store_, slice);
  cloud_.has_capacity = true;
  begin();
  run(Duration{5'000});
  ASSERT_FALSE(cloud_.requested_zones.empty());
  for (const ZoneId& zone : cloud_.requested_zones) EXPECT_EQ(zone, ZoneId("b"));
  std::size_t machine_count = 0;
  for (const auto& [name, provisioned] : cloud_.provisioned_machines)
    machine_count += provisioned.size();
  EXPECT_GE(machine_count, 3U) << "two for the gang, one for the array";
}

}  // namespace
}  // namespace marblevale
