// The assembly of one controller.
#pragma once

#include "admission/admission.hpp"
#include "app/settings.hpp"
#include "app/startup_times.hpp"
#include "blocks/grants.hpp"
#include "blocks/holder.hpp"
#include "cancellations/cancellations.hpp"
#include "election/election.hpp"
#include "fleet/fleet.hpp"
#include "peers/heartbeat.hpp"
#include "peers/offers.hpp"
#include "planner/granting.hpp"

namespace marblevale {

class Service {
 public:
  Service(Loop& loop, const Clock& clock, const Settings& settings, Nonce nonce);
  void begin();

 private:
  void serve(const HttpRequest& request, ResponderPtr responder);
  bool healthy();
  [[nodiscard]] bool state_answers(Duration within) const;
  Heartbeat compose();
  void heard(const Heartbeat& heartbeat, bool newer);

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
  Fleet fleet_;
  Granting granting_;
  BlockGrants grants_;
  HttpOrderSender order_sender_;
  BlockHolder holder_;
  Offers offers_;
  Admission admission_;
  HeartbeatExchange heartbeats_;
  HttpServer peers_;
  bool healthy_ = false;
  HttpServer users_;
  Timer summary_timer_;
};

}  // namespace marblevale
