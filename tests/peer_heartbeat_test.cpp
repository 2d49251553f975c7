// Heartbeats between controllers: their order, their encoding, and the health check based on them.
#include "peers/peer_heartbeat.hpp"

#include <gtest/gtest.h>

namespace marblevale {
namespace {

TEST(PeerHeartbeatExchange, AnIsolatedControllerFailsItsHealthCheck) {
  EXPECT_FALSE(should_serve_users(false, true, PeerStoreEvidence::store_reachable))
      << "it has not loaded the records";
  EXPECT_TRUE(should_serve_users(true, true, PeerStoreEvidence::no_recent_heartbeat));
  EXPECT_FALSE(should_serve_users(true, false, PeerStoreEvidence::store_reachable))
      << "it alone lacks the state service";
  EXPECT_FALSE(should_serve_users(true, false, PeerStoreEvidence::no_recent_heartbeat))
      << "it lacks its peers as well";
  EXPECT_TRUE(should_serve_users(true, false, PeerStoreEvidence::store_unreachable))
      << "all lack it";
  EXPECT_TRUE(should_serve_users(true, false, PeerStoreEvidence::no_peers));
}

TEST(PeerHeartbeatExchange, ADelayedDuplicateIsIgnored) {
  PeerHeartbeatDeduplicator deduplicator;
  PeerHeartbeat heartbeat;
  heartbeat.node = "n1";
  heartbeat.incarnation = 7;
  heartbeat.sequence = 5;
  EXPECT_EQ(deduplicator.classify(heartbeat), PeerHeartbeatDelivery::latest);
  EXPECT_EQ(deduplicator.classify(heartbeat), PeerHeartbeatDelivery::duplicate_or_late)
      << "the same again";
  heartbeat.sequence = 4;
  EXPECT_EQ(deduplicator.classify(heartbeat), PeerHeartbeatDelivery::duplicate_or_late)
      << "sent before it";
  heartbeat.sequence = 6;
  EXPECT_EQ(deduplicator.classify(heartbeat), PeerHeartbeatDelivery::latest);
  heartbeat.incarnation = 8;
  heartbeat.sequence = 1;
  EXPECT_EQ(deduplicator.classify(heartbeat), PeerHeartbeatDelivery::latest)
      << "another incarnation starts a new sequence";
}

TEST(PeerHeartbeatExchange, TruncatedOrUnknownFormatsAreRejected) {
  PeerHeartbeat heartbeat;
  heartbeat.node = "n1";
  heartbeat.misrouted_zones = {"a", "b"};
  heartbeat.cancellations.items = {{"req-1", 17}};
  const std::string bytes = encode(heartbeat);
  ASSERT_TRUE(decode_peer_heartbeat(bytes));
  EXPECT_EQ(decode_peer_heartbeat(bytes)->misrouted_zones.size(), 2U);
  EXPECT_EQ(decode_peer_heartbeat(bytes)->cancellations.items.at(0).cancelled_at_ms, 17);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    EXPECT_FALSE(decode_peer_heartbeat(bytes.substr(0, cut)));
  }
  heartbeat.format += 1;
  EXPECT_FALSE(decode_peer_heartbeat(encode(heartbeat))) << "of another version";
}

}  // namespace
}  // namespace marblevale
