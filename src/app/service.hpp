// Assembles one controller from its components.
#pragma once

#include "api/job_api.hpp"
#include "app/memory_report.hpp"
#include "app/startup_times.hpp"
#include "app/user_router.hpp"
#include "autoscaler/autoscaler.hpp"
#include "cancellations/cancellations.hpp"
#include "config/settings.hpp"
#include "election/election.hpp"
#include "leader/leader_loop.hpp"
#include "leader/shard_assigner.hpp"
#include "peers/offers.hpp"
#include "peers/peer_heartbeat.hpp"
#include "shards/shard_holder.hpp"
#include "store/client.hpp"

namespace marblevale {

/// Constructs the components of a controller, connects them, and starts them. The members are
/// constructed in the order of their declaration, and each refers only to members before it.
class Service {
 public:
  Service(Loop& loop, const Clock& clock, const Settings& settings, ProcessIncarnation incarnation);
  void begin();

 private:
  void serve_peer(const HttpRequest& request, const ResponderPtr& responder);
  /// Returns the result of the readiness probe. Logs when the result changes.
  bool update_readiness();
  [[nodiscard]] bool store_answered_within(Duration duration) const;
  PeerHeartbeat compose_peer_heartbeat();
  /// Extends the time for which the shard holder may act on its records, as long as the peers'
  /// cancellation lists prove that this controller knows every confirmed cancellation.
  void extend_record_freshness();
  void on_peer_heartbeat(const PeerHeartbeat& heartbeat, PeerHeartbeatDelivery delivery);
  void log_summary();
  /// Registers what the components hold with the memory report.
  void track_held_amounts();

  Metrics& metrics_;
  const Clock& clock_;
  const Settings& settings_;
  StoreClient store_;
  WatchCache cache_;
  StartupTimes startup_times_;
  Cancellations cancellations_;
  CancellationFreshness cancellation_freshness_;
  Election election_;
  CloudClient cloud_;
  Autoscaler autoscaler_;
  LeaderLoop leader_loop_;
  ShardAssigner shard_assigner_;
  HttpOrderSender order_sender_;
  ShardHolder shard_holder_;
  PeerOfferChannel offers_;
  JobApi job_api_;
  PeerHeartbeatExchange peer_heartbeats_;
  HttpServer peer_server_;
  bool ready_ = false;
  UserRouter user_router_;
  HttpServer user_server_;
  Timer summary_timer_;
  MemoryReport memory_report_;
};

}  // namespace marblevale
