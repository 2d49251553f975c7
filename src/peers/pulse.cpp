#include "peers/pulse.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "peers/archive.hpp"

namespace marblevale {

namespace {
constexpr Span kEvery{1000};
constexpr Span kLeastApart{100};  // under a storm of cancellations
constexpr Span kDeadline{900};
constexpr Span kLife{2500};
}  // namespace

std::string encode(const Pulse& pulse) { return to_bytes(pulse); }

std::optional<Pulse> decode_pulse(const std::string& bytes) {
  auto pulse = from_bytes<Pulse>(bytes);
  if (pulse && pulse->format != kPulseFormat) return std::nullopt;
  return pulse;
}

bool PulseOrder::newer(const Pulse& pulse) {
  auto [it, fresh] = last_.try_emplace(pulse.node, pulse.nonce, pulse.serial);
  if (fresh) return true;
  auto& [nonce, serial] = it->second;
  if (nonce == pulse.nonce && pulse.serial <= serial) return false;
  // Another life: whether it is the present one is for the records to tell.
  nonce = pulse.nonce;
  serial = pulse.serial;
  return true;
}

Pulses::Pulses(Loop& loop, const Clock& clock, const Settings& settings, Compose compose,
               Heard heard)
    : clock_(clock),
      settings_(settings),
      compose_(std::move(compose)),
      heard_(std::move(heard)),
      timer_(loop, [this] { tick(); }) {
  for (const Peer& peer : settings_.peers) {
    peers_[peer.node].client = std::make_unique<HttpClient>(loop, peer.address, 1, 1);
  }
}

void Pulses::drop(const char* what) {
  if (!dropped_) spdlog::warn("pulses: {} is dropped (logged once)", what);
  dropped_ = true;
}

void Pulses::serve(const HttpRequest& request, const ResponderPtr& responder) {
  const auto pulse = decode_pulse(request.body);
  if (!pulse) {
    drop("a pulse that can't be read");
    responder->reply(400, "{}");
    return;
  }
  heard_(*pulse, order_.newer(*pulse));
  Pulse answer = compose_();
  answer.serial = ++serial_;
  answer.answers = pulse->serial;
  responder->reply(200, encode(answer));
}

void Pulses::begin() { timer_.start({200}); }

void Pulses::hurry() {
  hurried_ = true;
  timer_.start(std::max(Span{0}, kLeastApart - (clock_.steady() - last_tick_)));
}

void Pulses::tick() {
  timer_.start(kEvery);
  const Steady now = clock_.steady();
  const Wall wall = clock_.wall();
  last_tick_ = now;
  const bool hurried = hurried_;
  hurried_ = false;
  Pulse pulse = compose_();
  pulse.serial = ++serial_;
  const std::string body = encode(pulse);
  for (auto& [node, peer] : peers_) {
    if (peer.busy) {
      peer.again = peer.again || hurried;
      continue;
    }
    peer.busy = true;
    peer.serial = pulse.serial;
    peer.client->send({EVHTTP_REQ_POST, kPath, body, "application/octet-stream", kDeadline},
                      [this, now, wall, name = node](const HttpReply& reply) {
                        answered(name, now, wall, reply);
                      });
  }
}

void Pulses::answered(const NodeId& name, Steady sent, Wall sent_wall, const HttpReply& reply) {
  PeerState& state = peers_.at(name);
  state.busy = false;
  if (state.again) {
    state.again = false;
    hurry();
  }
  if (reply.status != 200) return;
  auto answer = decode_pulse(reply.body);
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

PeersSay Pulses::peers_say() const {
  PeersSay out = peers_.empty() ? PeersSay::no_peers : PeersSay::nothing;
  for (const auto& [node, peer] : peers_) {
    if (!peer.last || clock_.steady() - peer.asked >= kLife) continue;
    out = std::max(out, peer.last->state_ok ? PeersSay::state : PeersSay::no_state);
  }
  return out;
}

std::vector<std::optional<CancellationWord>> Pulses::words() const {
  std::vector<std::optional<CancellationWord>> out;
  for (const auto& [node, peer] : peers_) {
    auto& word = out.emplace_back();
    if (!peer.last || clock_.steady() - peer.asked > kLife) continue;
    word = CancellationWord{peer.asked, peer.asked_wall, peer.last->cancellations};
  }
  return out;
}

}  // namespace marblevale
