// The way to a worker's own address: connections that are kept as far as the machine's sockets go.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "config/settings.hpp"
#include "net/http_client.hpp"

namespace marblevale {

/// The way to a worker's own address.
class OrderSender {
 public:
  virtual ~OrderSender() = default;
  /// POST /orders; status 0: no answer.
  virtual void send(const std::string& address, std::string body, HttpHandler then) = 0;
};

class HttpOrderSender : public OrderSender {
 public:
  /// `most`: connections to workers kept at a time.
  HttpOrderSender(Loop& loop, std::size_t most) : loop_(loop), most_(most) {}
  void send(const std::string& address, std::string body, HttpHandler then) override;
  [[nodiscard]] std::size_t connections() const { return clients_.size(); }

 private:
  struct Client {
    std::unique_ptr<HttpClient> http;
    std::uint64_t used = 0;  // when last, as a count of requests
  };
  bool preempt_for();

  Loop& loop_;
  std::size_t most_;
  std::uint64_t sent_ = 0;
  std::map<std::string, Client> clients_;
};

/// How many connections to workers may be kept: what the machine's sockets leave beside the
/// workers' own and the users'.
std::size_t order_connections(const Settings& settings);

}  // namespace marblevale
