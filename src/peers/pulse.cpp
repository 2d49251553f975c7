#include "peers/pulse.hpp"

#include <algorithm>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "peers/archive.hpp"

namespace marblevale {

namespace {
constexpr Span kEvery{1000};
constexpr Span kDeadline{900};
constexpr Span kLife{2500};
}  // namespace

std::string encode(const Pulse& pulse) { return to_bytes(pulse); }

std::optional<Pulse> decode_pulse(const std::string& bytes) { return from_bytes<Pulse>(bytes); }

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

void Pulses::serve(const HttpRequest& request, const ResponderPtr& responder) {
  const auto pulse = decode_pulse(request.body);
  if (!pulse) {
    responder->reply(400, "{}");
    return;
  }
  if (order_.newer(*pulse)) heard_(*pulse);
  Pulse answer = compose_();
  answer.serial = ++serial_;
  answer.answers = pulse->serial;
  responder->reply(200, encode(answer));
}

void Pulses::begin() { timer_.start({200}); }

void Pulses::tick() {
  timer_.start(kEvery);
  const Steady now = clock_.steady();
  Pulse pulse = compose_();
  pulse.serial = ++serial_;
  const std::string body = encode(pulse);
  for (auto& [node, peer] : peers_) {
    if (peer.busy) continue;
    peer.busy = true;
    peer.serial = pulse.serial;
    peer.client->send({EVHTTP_REQ_POST, kPath, body, "application/octet-stream", kDeadline},
                      [this, now, name = node](const HttpReply& reply) {
                        PeerState& state = peers_.at(name);
                        state.busy = false;
                        if (reply.status != 200) return;
                        auto answer = decode_pulse(reply.body);
                        // Its age counts from what it answers, and an answer to anything but this
                        // question tells nothing of now.
                        if (!answer || answer->answers != state.serial) return;
                        state.last = std::move(answer);
                        state.asked = now;
                        if (order_.newer(*state.last)) heard_(*state.last);
                      });
  }
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

std::optional<Steady> Pulses::no_cancel_since(Wall known) const {
  std::optional<Steady> since;
  for (const auto& [node, peer] : peers_) {
    if (!peer.last || clock_.steady() - peer.asked > kLife) return std::nullopt;
    // Two clocks may be off, each by the bound.
    const Wall last{peer.last->last_cancel_ms};
    if (last + settings_.clock_error * 2.0 >= known) return std::nullopt;
    since = since ? std::min(*since, peer.asked) : peer.asked;
  }
  return since;
}

}  // namespace marblevale
