// The channel of orders from a shard holder to its workers, whose answers a test scripts.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "shards/order_sender.hpp"

namespace marblevale::testing {

/// Records the orders that are sent to workers. A test answers an order by calling its `reply`. An
/// order without an answer stays in flight.
class ScriptedWorkers : public OrderSender {
 public:
  struct SentOrder {
    std::string address;
    std::string body;
    HttpHandler reply;
  };
  void send(const std::string& address, std::string body, HttpHandler then) override {
    sent.push_back({address, std::move(body), std::move(then)});
  }
  std::vector<SentOrder> sent;
};

}  // namespace marblevale::testing
