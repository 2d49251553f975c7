#include "shards/order_sender.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace marblevale {

namespace {
constexpr std::size_t kMinConnections = 32;
constexpr std::size_t kDefaultConnections = 128;  // if the settings have no limit of sockets
/// Maximum number of connections for each MB of the node's memory. An idle connection takes a few
/// KiB.
constexpr double kConnectionsPerMb = 16;
constexpr std::size_t kMaxQueuedOrdersPerWorker = 4;
constexpr Duration kOrderTimeout{1500};
}  // namespace

void HttpOrderSender::send(const std::string& address, std::string body, HttpHandler on_reply) {
  auto it = clients_.find(address);
  if (it == clients_.end()) {
    if (clients_.size() >= max_connections_ && !close_idle_connections()) {
      on_reply(HttpReply::never_sent());
      return;
    }
    Address worker_address;
    try {
      worker_address = parse_address(address, "address");
    } catch (const SettingsError&) {
      on_reply(HttpReply::never_sent());
      return;
    }
    auto http = std::make_unique<HttpClient>(loop_, worker_address, 1, kMaxQueuedOrdersPerWorker);
    it = clients_.emplace(address, Client{std::move(http)}).first;
  }
  it->second.last_used = ++request_count_;
  it->second.http->send(
      {EVHTTP_REQ_POST, "/orders", std::move(body), "application/json", kOrderTimeout},
      std::move(on_reply));
}

std::size_t max_order_connections(const Settings& settings) {
  // Orders get a quarter of the sockets, because in the worst case all machines send heartbeats to
  // this controller, each over its own connection.
  if (settings.max_sockets <= 0) return kDefaultConnections;
  const auto by_sockets = static_cast<std::size_t>(settings.max_sockets) / 4;
  const auto by_memory = static_cast<std::size_t>(settings.machine_memory_mb * kConnectionsPerMb);
  return std::max(kMinConnections, by_memory > 0 ? std::min(by_sockets, by_memory) : by_sockets);
}

bool HttpOrderSender::close_idle_connections() {
  // Of the idle connections, the least recently used quarter is closed. Closing all of them would
  // cost a new connection for nearly every order in a large cluster.
  struct IdleConnection {
    std::uint64_t last_used;
    std::string address;
  };
  std::vector<IdleConnection> idle;
  for (const auto& [address, client] : clients_) {
    if (client.http->idle()) idle.push_back({client.last_used, address});
  }
  // `last_used` is unique, because each request increments the counter.
  std::sort(idle.begin(), idle.end(), [](const IdleConnection& a, const IdleConnection& b) {
    return a.last_used < b.last_used;
  });
  idle.resize((idle.size() + 3) / 4);
  for (const IdleConnection& connection : idle) clients_.erase(connection.address);
  return !idle.empty();
}

}  // namespace marblevale
