#include "peers/peer_heartbeat.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "peers/archive.hpp"

namespace marblevale {

namespace {
constexpr Duration kEvery{1000};
constexpr Duration kMinApart{100};  // under a storm of cancellations
constexpr Duration kDeadline{900};
constexpr Duration kLife{2500};
}  // namespace

std::string encode(const PeerHeartbeat& heartbeat) { return to_bytes(heartbeat); }

std::optional<PeerHeartbeat> decode_peer_heartbeat(const std::string& bytes) {
  auto heartbeat = from_bytes<PeerHeartbeat>(bytes);
  if (heartbeat && heartbeat->format != kPeerHeartbeatFormat) return std::nullopt;
  return heartbeat;
}

bool PeerHeartbeatOrder::newer(const PeerHeartbeat& heartbeat) {
  auto [it, fresh] = last_.try_emplace(heartbeat.node, heartbeat.incarnation, heartbeat.serial);
  if (fresh) return true;
  auto& [incarnation, serial] = it->second;
  if (incarnation == heartbeat.incarnation && heartbeat.serial <= serial) return false;
  // Another life: whether it is the present one is for the records to tell.
  incarnation = heartbeat.incarnation;
  serial = heartbeat.serial;
  return true;
}

PeerHeartbeatExchange::PeerHeartbeatExchange(Loop& loop, const Clock& clock,
                                             const Settings& settings, Compose compose,
                                             Received received)
    : clock_(clock),
      settings_(settings),
      compose_(std::move(compose)),
      received_(std::move(received)),
      timer_(loop, [this] { tick(); }) {
  for (const Peer& peer : settings_.peers) {
    peers_[peer.node].client = std::make_unique<HttpClient>(loop, peer.address, 1, 1);
  }
}

void PeerHeartbeatExchange::drop(const char* what) {
  if (!dropped_) spdlog::warn("heartbeats: {} is dropped (logged once)", what);
  dropped_ = true;
}

void PeerHeartbeatExchange::serve(const HttpRequest& request, const ResponderPtr& responder) {
  const auto heartbeat = decode_peer_heartbeat(request.body);
  if (!heartbeat) {
    drop("a heartbeat that can't be read");
    responder->reply(400, "{}");
    return;
  }
  received_(*heartbeat, order_.newer(*heartbeat));
  PeerHeartbeat answer = compose_();
  answer.serial = ++serial_;
  answer.answers = heartbeat->serial;
  responder->reply(200, encode(answer));
}

void PeerHeartbeatExchange::begin() { timer_.start(Duration{200}); }

void PeerHeartbeatExchange::send_soon() {
  send_soon_ = true;
  timer_.start(std::max(Duration{0}, kMinApart - (clock_.steady() - last_tick_)));
}

void PeerHeartbeatExchange::tick() {
  timer_.start(kEvery);
  const SteadyTime now = clock_.steady();
  const WallTime wall = clock_.wall();
  last_tick_ = now;
  const bool hurried = send_soon_;
  send_soon_ = false;
  PeerHeartbeat heartbeat = compose_();
  heartbeat.serial = ++serial_;
  const std::string body = encode(heartbeat);
  for (auto& [node, peer] : peers_) {
    if (peer.busy) {
      peer.retry = peer.retry || hurried;
      continue;
    }
    peer.busy = true;
    peer.serial = heartbeat.serial;
    peer.client->send({EVHTTP_REQ_POST, kPath, body, "application/octet-stream", kDeadline},
                      [this, now, wall, name = node](const HttpReply& reply) {
                        answered(name, now, wall, reply);
                      });
  }
}

void PeerHeartbeatExchange::answered(const NodeId& name, SteadyTime sent, WallTime sent_wall,
                                     const HttpReply& reply) {
  PeerState& state = peers_.at(name);
  state.busy = false;
  if (state.retry) {
    state.retry = false;
    send_soon();
  }
  if (reply.status != 200) return;
  auto answer = decode_peer_heartbeat(reply.body);
  // Its age counts from what it answers, and an answer to anything but this question, or of
  // another controller, tells nothing of now.
  if (!answer || answer->answers != state.serial || answer->node != name.get()) {
    drop("an answer that can't be read, or to something else");
    return;
  }
  state.last = std::move(answer);
  state.asked = sent;
  state.asked_wall = sent_wall;
  received_(*state.last, order_.newer(*state.last));
}

bool takes_users(bool loaded, bool state_answers, PeerStateEvidence peers) {
  if (!loaded || state_answers) return loaded;
  return peers == PeerStateEvidence::no_peers || peers == PeerStateEvidence::no_state;
}

PeerStateEvidence PeerHeartbeatExchange::peer_state_evidence() const {
  PeerStateEvidence out = peers_.empty() ? PeerStateEvidence::no_peers : PeerStateEvidence::nothing;
  for (const auto& [node, peer] : peers_) {
    if (!peer.last || clock_.steady() - peer.asked >= kLife) continue;
    out =
        std::max(out, peer.last->state_ok ? PeerStateEvidence::state : PeerStateEvidence::no_state);
  }
  return out;
}

std::vector<std::optional<PeerCancellationList>> PeerHeartbeatExchange::peer_cancellation_lists()
    const {
  std::vector<std::optional<PeerCancellationList>> out;
  for (const auto& [node, peer] : peers_) {
    auto& word = out.emplace_back();
    if (!peer.last || clock_.steady() - peer.asked > kLife) continue;
    word = PeerCancellationList{peer.asked, peer.asked_wall, peer.last->cancellations};
  }
  return out;
}

}  // namespace marblevale
