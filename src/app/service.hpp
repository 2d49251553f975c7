// The assembly of one controller.
#pragma once

#include "api/job_api.hpp"
#include "app/startup_times.hpp"
#include "autoscaler/autoscaler.hpp"
#include "cancellations/cancellations.hpp"
#include "config/settings.hpp"
#include "election/election.hpp"
#include "leader/leader_loop.hpp"
#include "leader/shard_assigner.hpp"
#include "peers/offers.hpp"
#include "peers/peer_heartbeat.hpp"
#include "shards/shard_holder.hpp"

namespace marblevale {

class Service {
 public:
  Service(Loop& loop, const Clock& clock, const Settings& settings, ProcessIncarnation incarnation);
  void begin();

 private:
  void serve(const HttpRequest& request, ResponderPtr responder);
  bool update_readiness();
  [[nodiscard]] bool store_answered_within(Duration within) const;
  PeerHeartbeat compose_peer_heartbeat();
  void on_peer_heartbeat(const PeerHeartbeat& heartbeat, bool newer);

  void summarize();

  Metrics& metrics_;
  const Clock& clock_;
  const Settings& settings_;
  StoreClient store_;
  WatchCache cache_;
  StartupTimes startup_times_;
  Cancellations cancellations_;
  Vouching vouching_;
  Election election_;
  CloudClient cloud_;
  Autoscaler autoscaler_;
  LeaderLoop leader_loop_;
  ShardAssigner shard_assigner_;
  HttpOrderSender order_sender_;
  ShardHolder shard_holder_;
  Offers offers_;
  JobApi job_api_;
  PeerHeartbeatExchange peer_heartbeats_;
  HttpServer peer_server_;
  bool ready_ = false;
  HttpServer user_server_;
  Timer summary_timer_;
};

}  // namespace marblevale
