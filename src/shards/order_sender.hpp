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
  /// Sends `body` by POST to `/orders` of the worker at `address`. When the reply is `no_answer`,
  /// the worker may still execute the orders.
  virtual void send(const std::string& address, std::string body, HttpHandler on_reply) = 0;
};

/// Sends orders by HTTP, and keeps the most recently used connections open.
class HttpOrderSender : public OrderSender {
 public:
  HttpOrderSender(Loop& loop, std::size_t max_connections)
      : loop_(loop), max_connections_(max_connections) {}
  void send(const std::string& address, std::string body, HttpHandler on_reply) override;
  [[nodiscard]] std::size_t connection_count() const { return clients_.size(); }

 private:
  struct Client {
    std::unique_ptr<HttpClient> http;
    std::uint64_t last_used = 0;  // the value of `request_count_` at the last request
  };
  /// Closes the least recently used idle connections. Returns false when no connection is idle.
  bool close_idle_connections();

  Loop& loop_;
  std::size_t max_connections_;
  std::uint64_t request_count_ = 0;
  std::map<std::string, Client> clients_;
};

/// The maximum number of open connections to workers. It is a share of the process's sockets,
/// because the connections that workers and users open need the rest.
std::size_t max_order_connections(const Settings& settings);

}  // namespace marblevale
