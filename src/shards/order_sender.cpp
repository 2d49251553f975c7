#include "shards/order_sender.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace marblevale {

namespace {
constexpr std::size_t kMinClients = 32;  // connections to workers
constexpr std::size_t kDefaultClients = 128;
/// Connections for each MB of the node's memory: an idle one takes a few KiB.
constexpr double kClientsPerMb = 16;
constexpr Duration kOrderDeadline{1500};
}  // namespace

void HttpOrderSender::send(const std::string& address, std::string body, HttpHandler then) {
  auto it = clients_.find(address);
  if (it == clients_.end()) {
    if (clients_.size() >= most_ && !preempt_for()) {
      then(HttpReply::never_sent());
      return;
    }
    Address to;
    try {
      to = parse_address(address, "address");
    } catch (const SettingsError&) {
      then(HttpReply::never_sent());
      return;
    }
    it = clients_.emplace(address, Client{std::make_unique<HttpClient>(loop_, to, 1, 4)}).first;
  }
  it->second.used = ++sent_;
  it->second.http->send(
      {EVHTTP_REQ_POST, "/orders", std::move(body), "application/json", kOrderDeadline},
      std::move(then));
}

std::size_t order_connections(const Settings& settings) {
  // A quarter: in the worst case all the machines heartbeat here, each by a connection of its own.
  if (settings.max_sockets <= 0) return kDefaultClients;
  const auto by_sockets = static_cast<std::size_t>(settings.max_sockets) / 4;
  const auto by_memory = static_cast<std::size_t>(settings.ram_mb * kClientsPerMb);
  return std::max(kMinClients, by_memory > 0 ? std::min(by_sockets, by_memory) : by_sockets);
}

bool HttpOrderSender::preempt_for() {
  // Machines come and go: of the idle connections, the quarter that was used longest ago is closed.
  // To close all of them would mean a new connection for nearly every order in a large cluster.
  std::vector<std::pair<std::uint64_t, std::string>> idle;
  for (const auto& [address, client] : clients_) {
    if (client.http->idle()) idle.emplace_back(client.used, address);
  }
  std::sort(idle.begin(), idle.end());
  idle.resize((idle.size() + 3) / 4);
  for (const auto& [used, address] : idle) clients_.erase(address);
  return !idle.empty();
}

}  // namespace marblevale
