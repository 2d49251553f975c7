#include "peers/peer_heartbeat.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "peers/archive.hpp"

namespace marblevale {

namespace {
constexpr Duration kFirstHeartbeatDelay{200};
constexpr Duration kHeartbeatInterval{1000};
constexpr Duration kMinHeartbeatSpacing{100};  // also when many cancellations are confirmed
constexpr Duration kRequestTimeout{900};
constexpr Duration kMaxReplyAge{2500};

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
}  // namespace

std::string encode(const PeerHeartbeat& heartbeat) { return to_bytes(heartbeat); }

std::optional<PeerHeartbeat> decode_peer_heartbeat(const std::string& bytes) {
  auto heartbeat = from_bytes<PeerHeartbeat>(bytes);
  if (heartbeat && heartbeat->format != kPeerHeartbeatFormat) return std::nullopt;
  return heartbeat;
}

PeerHeartbeatDelivery PeerHeartbeatDeduplicator::classify(const PeerHeartbeat& heartbeat) {
  const LatestHeartbeat received{heartbeat.incarnation, heartbeat.sequence};
  const auto [it, is_first] = latest_by_node_.try_emplace(heartbeat.node, received);
  if (is_first) return PeerHeartbeatDelivery::latest;
  LatestHeartbeat& latest = it->second;
  if (latest.incarnation == received.incarnation && received.sequence <= latest.sequence) {
    return PeerHeartbeatDelivery::duplicate_or_late;
  }
  // Sequence numbers of two incarnations can't be compared; the records show which one is alive.
  latest = received;
  return PeerHeartbeatDelivery::latest;
}

PeerHeartbeatExchange::PeerHeartbeatExchange(Loop& loop, const Clock& clock,
                                             const Settings& settings, Compose compose,
                                             OnReceived on_received)
    : clock_(clock),
      settings_(settings),
      compose_(std::move(compose)),
      on_received_(std::move(on_received)),
      timer_(loop, [this] { send_heartbeats(); }) {
  for (const Peer& peer : settings_.peers) {
    peers_[peer.node].client = std::make_unique<HttpClient>(loop, peer.address, 1, 1);
  }
}

void PeerHeartbeatExchange::log_first_drop(const char* reason) {
  if (!drop_logged_) {
    spdlog::warn("peer_heartbeat: message_dropped reason={} logged=first_only", reason);
  }
  drop_logged_ = true;
}

void PeerHeartbeatExchange::serve(const HttpRequest& request, const ResponderPtr& responder) {
  const auto heartbeat = decode_peer_heartbeat(request.body);
  if (!heartbeat) {
    log_first_drop("malformed_request");
    responder->reply(kStatusBadRequest, "{}");
    return;
  }
  on_received_(*heartbeat, deduplicator_.classify(*heartbeat));
  PeerHeartbeat reply = compose_();
  reply.sequence = ++last_sequence_;
  reply.in_reply_to = heartbeat->sequence;
  responder->reply(kStatusOk, encode(reply));
}

void PeerHeartbeatExchange::begin() { timer_.start(kFirstHeartbeatDelay); }

void PeerHeartbeatExchange::send_soon() {
  send_requested_ = true;
  const Duration since_last = clock_.steady() - last_sent_at_;
  timer_.start(std::max(Duration{0}, kMinHeartbeatSpacing - since_last));
}

void PeerHeartbeatExchange::send_heartbeats() {
  timer_.start(kHeartbeatInterval);
  const SteadyTime now = clock_.steady();
  const WallTime now_wall = clock_.wall();
  last_sent_at_ = now;
  const bool was_requested = send_requested_;
  send_requested_ = false;
  PeerHeartbeat heartbeat = compose_();
  heartbeat.sequence = ++last_sequence_;
  const std::string body = encode(heartbeat);
  for (auto& [node, peer] : peers_) {
    if (peer.request_in_flight) {
      peer.resend_after_reply = peer.resend_after_reply || was_requested;
      continue;
    }
    peer.request_in_flight = true;
    peer.request_sequence = heartbeat.sequence;
    peer.client->send({EVHTTP_REQ_POST, kPath, body, "application/octet-stream", kRequestTimeout},
                      [this, now, now_wall, node = node](const HttpReply& reply) {
                        handle_reply(node, now, now_wall, reply);
                      });
  }
}

void PeerHeartbeatExchange::handle_reply(const NodeId& node, SteadyTime requested_at,
                                         WallTime requested_at_wall, const HttpReply& reply) {
  PeerState& peer = peers_.at(node);
  peer.request_in_flight = false;
  if (peer.resend_after_reply) {
    peer.resend_after_reply = false;
    send_soon();
  }
  if (reply.status != kStatusOk) return;
  auto heartbeat = decode_peer_heartbeat(reply.body);
  // The age of a reply is measured from its request. A reply to another request, or from another
  // controller, is dropped because its age is unknown.
  if (!heartbeat || heartbeat->in_reply_to != peer.request_sequence ||
      heartbeat->node != node.get()) {
    log_first_drop("malformed_or_unexpected_reply");
    return;
  }
  peer.last_reply = std::move(heartbeat);
  peer.requested_at = requested_at;
  peer.requested_at_wall = requested_at_wall;
  on_received_(*peer.last_reply, deduplicator_.classify(*peer.last_reply));
}

bool should_serve_users(bool cache_loaded, bool store_reachable, PeerStoreEvidence peers) {
  if (!cache_loaded || store_reachable) return cache_loaded;
  return peers == PeerStoreEvidence::no_peers || peers == PeerStoreEvidence::store_unreachable;
}

PeerStoreEvidence PeerHeartbeatExchange::peer_store_evidence() const {
  PeerStoreEvidence evidence =
      peers_.empty() ? PeerStoreEvidence::no_peers : PeerStoreEvidence::no_recent_heartbeat;
  for (const auto& [node, peer] : peers_) {
    if (!peer.last_reply || clock_.steady() - peer.requested_at >= kMaxReplyAge) continue;
    evidence =
        std::max(evidence, peer.last_reply->store_reachable ? PeerStoreEvidence::store_reachable
                                                            : PeerStoreEvidence::store_unreachable);
  }
  return evidence;
}

std::vector<std::optional<PeerCancellationList>> PeerHeartbeatExchange::peer_cancellation_lists()
    const {
  std::vector<std::optional<PeerCancellationList>> lists;
  for (const auto& [node, peer] : peers_) {
    auto& list = lists.emplace_back();
    if (!peer.last_reply || clock_.steady() - peer.requested_at > kMaxReplyAge) continue;
    list = PeerCancellationList{peer.requested_at, peer.requested_at_wall,
                                peer.last_reply->cancellations};
  }
  return lists;
}

}  // namespace marblevale
