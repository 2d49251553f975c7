// The maximum number of connections that a controller may use for orders.
#include "support/shard_holder_fixture.hpp"

namespace marblevale {
namespace {

TEST(OrderConnections, FollowTheSocketLimit) {
  Settings settings;
  EXPECT_EQ(max_order_connections(settings), 128U) << "nothing is said of sockets";
  settings.max_sockets = 5000;
  EXPECT_EQ(max_order_connections(settings), 1250U);
  settings.max_sockets = 10;
  EXPECT_EQ(max_order_connections(settings), 32U);
  settings.max_sockets = 20'000;
  EXPECT_EQ(max_order_connections(settings), 5000U);
  settings.machine_memory_mb = 56;
  EXPECT_EQ(max_order_connections(settings), 896U) << "an idle connection takes memory, too";
}

}  // namespace
}  // namespace marblevale
