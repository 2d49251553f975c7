/// Heartbeats between controllers. Each controller sends one per second, and one at once when it
/// confirms a cancellation to a user.
///
/// Heartbeats speed up reactions and, by peer attestation of cancellations, keep workers' leases
/// renewed during an outage of the state service. No safety rule depends on the arrival of a
/// message.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cancellations/cancellations.hpp"
#include "config/settings.hpp"
#include "net/http_server.hpp"

namespace marblevale {

/// Increases with every change of the message's format; a message of another format is dropped.
inline constexpr std::uint32_t kPeerHeartbeatFormat = 2;

/// Serialized by position: neither the order nor the types of the members may change.
struct PeerHeartbeat {
  std::uint32_t format = kPeerHeartbeatFormat;
  std::string node;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;                  // increases with every heartbeat of this incarnation
  std::uint64_t in_reply_to = 0;               // in a reply: the sequence number of the request
  bool store_reachable = false;                // this node can reach the state service
  std::vector<std::string> misrouted_zones;    // zones whose workers cannot reach their holder
  std::vector<std::string> unreachable_zones;  // held zones whose machines this node can't reach
  CancellationList cancellations;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(format, node, incarnation, sequence, in_reply_to, store_reachable, misrouted_zones,
            unreachable_zones, cancellations);
  }
};

std::string encode(const PeerHeartbeat& heartbeat);
/// Returns no value for bytes that are not a valid heartbeat of this format.
std::optional<PeerHeartbeat> decode_peer_heartbeat(const std::string& bytes);

/// What the peers' recent heartbeats show about the state service. The values are in increasing
/// order of weight, because one peer that reaches the state service outweighs all peers that do
/// not.
enum class PeerStoreEvidence {
  no_peers,             // this controller has none
  no_recent_heartbeat,  // from any peer
  store_unreachable,    // for every peer with a recent heartbeat
  store_reachable       // for at least one peer
};

/// Whether this controller passes the load balancer's health check. A controller fails the check
/// until it has loaded the records. A controller that cannot reach the state service fails it if a
/// peer can reach it, or if no peer has sent a recent heartbeat, because this controller is then
/// probably partitioned from the others. If no controller reaches the state service, all of them
/// pass, because leaving the load balancer's pool would only delay the recovery.
bool should_serve_users(bool cache_loaded, bool store_reachable, PeerStoreEvidence peers);

/// Whether a heartbeat is the latest from its sender. A copy or a delayed message may arrive
/// seconds or minutes later.
enum class PeerHeartbeatDelivery { latest, duplicate_or_late };

/// Detects duplicate and reordered heartbeats by the sequence numbers of each peer.
class PeerHeartbeatDeduplicator {
 public:
  /// Classifies the heartbeat, and remembers it when it is the latest.
  PeerHeartbeatDelivery classify(const PeerHeartbeat& heartbeat);

 private:
  struct LatestHeartbeat {
    std::uint64_t incarnation;
    std::uint64_t sequence;
  };
  std::map<std::string, LatestHeartbeat> latest_by_node_;
};

/// Sends this controller's heartbeats to all peers, and evaluates the peers' heartbeats and
/// replies.
class PeerHeartbeatExchange {
 public:
  static constexpr const char* kPath = "/pulse";
  using Compose = std::function<PeerHeartbeat()>;
  using OnReceived = std::function<void(const PeerHeartbeat&, PeerHeartbeatDelivery)>;

  PeerHeartbeatExchange(Loop& loop, const Clock& clock, const Settings& settings, Compose compose,
                        OnReceived on_received);
  void begin();
  /// Schedules a heartbeat before the next regular one, as soon as the minimum spacing allows. A
  /// peer whose last request is still in flight gets the heartbeat after its reply.
  void send_soon();
  /// Handles a peer's request on `kPath`.
  void serve(const HttpRequest& request, const ResponderPtr& responder);

  [[nodiscard]] PeerStoreEvidence peer_store_evidence() const;
  /// One entry for each peer; empty for a peer without a recent reply.
  [[nodiscard]] std::vector<std::optional<PeerCancellationList>> peer_cancellation_lists() const;

 private:
  struct PeerState {
    std::unique_ptr<HttpClient> client;
    bool request_in_flight = false;
    bool resend_after_reply = false;  // `send_soon` was called while the request was in flight
    std::optional<PeerHeartbeat> last_reply;
    SteadyTime requested_at;  // when the request that brought `last_reply` was sent
    WallTime requested_at_wall;
    std::uint64_t request_sequence = 0;  // of the request that is in flight
  };
  void send_heartbeats();
  void handle_reply(const NodeId& node, SteadyTime requested_at, WallTime requested_at_wall,
                    const HttpReply& reply);
  void log_first_drop(const char* reason);

  const Clock& clock_;
  const Settings& settings_;
  Compose compose_;
  OnReceived on_received_;
  PeerHeartbeatDeduplicator deduplicator_;
  std::uint64_t last_sequence_ = 0;
  SteadyTime last_sent_at_ = kLongAgo;
  bool send_requested_ = false;
  bool drop_logged_ = false;
  std::map<NodeId, PeerState> peers_;
  Timer timer_;
};

}  // namespace marblevale
