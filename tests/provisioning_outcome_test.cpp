// Requests to the cloud whose outcome is open: machines that come of a request that was taken for
// refused.
#include "support/leader_loop_fixture.hpp"

namespace marblevale {
namespace {

class ProvisioningOutcomeTest : public testing::LeaderLoopTest {};

// A request went without an answer, its repeat was refused for want of capacity and its record is
// gone; then the first one is carried out. The machine is in the cloud's list and in no record.
TEST_F(ProvisioningOutcomeTest, AMachineThatComesAfterItsRequestWasRefusedIsReturned) {
  begin();
  submit(testing::gang("req-1", 1, 2, 60));
  run(Duration{3'000});
  ASSERT_FALSE(cloud_.provisioning_requests.empty());
  EXPECT_TRUE(cache_.records().provisioning_requests.empty()) << "refused: there is no capacity";
  Transaction over;
  over.remove(keys::job(JobId("req-1")));
  store_.commit(RequestPriority::binding, over, [](const CommitResult&) {});
  cloud_.listing.emplace();
  cloud_.listing->machines.push_back({MachineId("vm-late"), "", "g8", ZoneId("a"), false,
                                      ProvisioningStatus::running, Duration{600'000}});
  run(Duration{10'000});
  EXPECT_EQ(cloud_.removed, std::vector<MachineId>{MachineId("vm-late")});
}

}  // namespace
}  // namespace marblevale
