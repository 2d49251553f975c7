#include "peers/pulse.hpp"

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
  heard_(*pulse);
  responder->reply(200, encode(compose_()));
}

void Pulses::begin() { timer_.start({200}); }

void Pulses::tick() {
  timer_.start(kEvery);
  const Steady now = clock_.steady();
  const std::string body = encode(compose_());
  for (auto& [node, peer] : peers_) {
    if (peer.busy) continue;
    peer.busy = true;
    peer.client->send({EVHTTP_REQ_POST, kPath, body, "application/octet-stream", kDeadline},
                      [this, now, name = node](const HttpReply& reply) {
                        PeerState& state = peers_.at(name);
                        state.busy = false;
                        if (reply.status != 200) return;
                        state.last = decode_pulse(reply.body);
                        state.asked = now;
                        if (state.last) heard_(*state.last);
                      });
  }
}

bool Pulses::peer_has_state() const {
  for (const auto& [node, peer] : peers_) {
    if (peer.last && peer.last->state_ok && clock_.steady() - peer.asked < kLife) return true;
  }
  return false;
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
