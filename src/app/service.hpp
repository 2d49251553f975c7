// The assembly of one controller.
#pragma once

#include "api/admission.hpp"
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
  bool healthy();
  [[nodiscard]] bool state_answers(Duration within) const;
  PeerHeartbeat compose();
  void received(const PeerHeartbeat& heartbeat, bool newer);

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
  ShardAssigner grants_;
  HttpOrderSender order_sender_;
  ShardHolder holder_;
  Offers offers_;
  Admission admission_;
  PeerHeartbeatExchange heartbeats_;
  HttpServer peers_;
  bool healthy_ = false;
  HttpServer users_;
  Timer summary_timer_;
};

}  // namespace marblevale
