// Which machines are provisioned for waiting jobs.
#include "scheduling/scale_out.hpp"

#include "support/helpers.hpp"

namespace marblevale {
namespace {

TEST(ScaleOut, ProvisionsTheCheapestOfferingThatShortensTheWait) {
  MachineType type;
  type.name = "g8";
  type.resources = {96, 8, 768};
  type.price = 10;
  type.spot_price = 4;
  type.boot = Duration{30'000};
  type.zones = {ZoneId("a"), ZoneId("b")};
  JobSpec job = testing::batch("req-1", 12, 1, 60);
  job.allows_spot = true;
  const auto any = [](const MachineOffering&) { return true; };
  const std::map<TeamId, Resources> rich{{TeamId("crew"), {1e9, 100, 1e9}}};
  const auto provisioned =
      plan_scale_out({{&job, 12, job.estimated_run, Duration{100'000}, std::nullopt}}, {type}, any,
                     {{ZoneId("a"), 3}}, rich);
  std::uint32_t count = 0;
  for (const auto& [offer, n] : provisioned) {
    EXPECT_TRUE(offer.spot);
    count += n;
  }
  EXPECT_EQ(count, 2U);
  EXPECT_TRUE(plan_scale_out({{&job, 12, job.estimated_run, Duration{20'000}, std::nullopt}},
                             {type}, any, {}, rich)
                  .empty())
      << "it would start before a machine is up";
  const std::map<TeamId, Resources> poor{{TeamId("crew"), {1e9, 0, 1e9}}};
  EXPECT_TRUE(plan_scale_out({{&job, 12, job.estimated_run, Duration{100'000}, std::nullopt}},
                             {type}, any, {}, poor)
                  .empty())
      << "the team's limit forbids it";
}

}  // namespace
}  // namespace marblevale
