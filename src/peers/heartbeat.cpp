#include "peers/heartbeat.hpp"

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

std::string encode(const Heartbeat& heartbeat) { return to_bytes(heartbeat); }

std::optional<Heartbeat> decode_heartbeat(const std::string& bytes) {
  auto heartbeat = from_bytes<Heartbeat>(bytes);
  if (heartbeat && heartbeat->format != kHeartbeatFormat) return std::nullopt;
  return heartbeat;
}

bool HeartbeatOrder::newer(const Heartbeat& heartbeat) {
  auto [it, fresh] = last_.try_emplace(heartbeat.node, heartbeat.nonce, heartbeat.serial);
  if (fresh) return true;
  auto& [nonce, serial] = it->second;
  if (nonce == heartbeat.nonce && heartbeat.serial <= serial) return false;
  // Another life: whether it is the present one is for the records to tell.
  nonce = heartbeat.nonce;
  serial = heartbeat.serial;
  return true;
}

HeartbeatExchange::HeartbeatExchange(Loop& loop, const Clock& clock, const Settings& settings,
                                     Compose compose, Heard heard)
    : clock_(clock),
      settings_(settings),
      compose_(std::move(compose)),
      heard_(std::move(heard)),
      timer_(loop, [this] { tick(); }) {
  for (const Peer& peer : settings_.peers) {
    peers_[peer.node].client = std::make_unique<HttpClient>(loop, peer.address, 1, 1);
  }
}

void HeartbeatExchange::drop(const char* what) {
  if (!dropped_) spdlog::warn("heartbeats: {} is dropped (logged once)", what);
  dropped_ = true;
}

void HeartbeatExchange::serve(const HttpRequest& request, const ResponderPtr& responder) {
  const auto heartbeat = decode_heartbeat(request.body);
  if (!heartbeat) {
    drop("a heartbeat that can't be read");
    responder->reply(400, "{}");
    return;
  }
  heard_(*heartbeat, order_.newer(*heartbeat));
  Heartbeat answer = compose_();
  answer.serial = ++serial_;
  answer.answers = heartbeat->serial;
  responder->reply(200, encode(answer));
}

void HeartbeatExchange::begin() { timer_.start({200}); }

void HeartbeatExchange::hurry() {
  hurried_ = true;
  timer_.start(std::max(Duration{0}, kMinApart - (clock_.steady() - last_tick_)));
}

void HeartbeatExchange::tick() {
  timer_.start(kEvery);
  const SteadyTime now = clock_.steady();
  const WallTime wall = clock_.wall();
  last_tick_ = now;
  const bool hurried = hurried_;
  hurried_ = false;
  Heartbeat heartbeat = compose_();
  heartbeat.serial = ++serial_;
  const std::string body = encode(heartbeat);
  for (auto& [node, peer] : peers_) {
    if (peer.busy) {
      peer.again = peer.again || hurried;
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

void HeartbeatExchange::answered(const NodeId& name, SteadyTime sent, WallTime sent_wall,
                                 const HttpReply& reply) {
  PeerState& state = peers_.at(name);
  state.busy = false;
  if (state.again) {
    state.again = false;
    hurry();
  }
  if (reply.status != 200) return;
  auto answer = decode_heartbeat(reply.body);
  // Its age counts from what it answers, and an answer to anything but this question, or of
  // another controller, tells nothing of now.
  if (!answer || answer->answers != state.serial || answer->node != name.get()) {
    drop("an answer that can't be read, or to something else");
    return;
  }
  state.last = std::move(answer);
  state.asked = sent;
  state.asked_wall = sent_wall;
  heard_(*state.last, order_.newer(*state.last));
}

bool takes_users(bool loaded, bool state_answers, PeersSay peers) {
  if (!loaded || state_answers) return loaded;
  return peers == PeersSay::no_peers || peers == PeersSay::no_state;
}

PeersSay HeartbeatExchange::peers_say() const {
  PeersSay out = peers_.empty() ? PeersSay::no_peers : PeersSay::nothing;
  for (const auto& [node, peer] : peers_) {
    if (!peer.last || clock_.steady() - peer.asked >= kLife) continue;
    out = std::max(out, peer.last->state_ok ? PeersSay::state : PeersSay::no_state);
  }
  return out;
}

std::vector<std::optional<CancellationWord>> HeartbeatExchange::words() const {
  std::vector<std::optional<CancellationWord>> out;
  for (const auto& [node, peer] : peers_) {
    auto& word = out.emplace_back();
    if (!peer.last || clock_.steady() - peer.asked > kLife) continue;
    word = CancellationWord{peer.asked, peer.asked_wall, peer.last->cancellations};
  }
  return out;
}

}  // namespace marblevale
