/// Transport of direct orders to the workers' own addresses, over a bounded set of connections.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "config/settings.hpp"
#include "net/http_client.hpp"

namespace marblevale {

/// Interface between the holder and the transport of direct orders.
class OrderSender {
 public:
  virtual ~OrderSender() = default;
  /// POST /orders of the worker at the address. After `no_answer` the orders may still be executed.
  virtual void send(const std::string& address, std::string body, HttpHandler on_reply) = 0;
};

/// Sends orders by HTTP, and keeps the connections of the workers that were used last.
class HttpOrderSender : public OrderSender {
 public:
  HttpOrderSender(Loop& loop, std::size_t max_connections)
      : loop_(loop), max_connections_(max_connections) {}
  void send(const std::string& address, std::string body, HttpHandler on_reply) override;
  [[nodiscard]] std::size_t connection_count() const { return clients_.size(); }

 private:
  struct Client {
    std::unique_ptr<HttpClient> http;
    std::uint64_t last_used = 0;  // as a count of requests
  };
  /// Closes the least recently used idle connections; false when none is idle.
  bool close_idle_connections();

  Loop& loop_;
  std::size_t max_connections_;
  std::uint64_t request_count_ = 0;
  std::map<std::string, Client> clients_;
};

/// How many connections to workers may be kept: a share of the process's sockets, since the
/// workers' and users' own connections need the rest.
std::size_t max_order_connections(const Settings& settings);

}  // namespace marblevale
