#include "peers/offers.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "peers/archive.hpp"

namespace marblevale {

namespace {
constexpr Duration kRequestTimeout{1000};
constexpr std::size_t kConnectionsPerPeer = 2;
constexpr std::size_t kMaxQueuedRequests = 64;

constexpr int kStatusOk = 200;          // accepted
constexpr int kStatusBadRequest = 400;  // malformed offer
constexpr int kStatusConflict = 409;    // declined

OfferOutcome outcome_of(OfferAnswer answer) {
  return answer == OfferAnswer::accepted ? OfferOutcome::accepted : OfferOutcome::declined;
}

OfferOutcome outcome_of(const HttpReply& reply) {
  if (reply.status == kStatusOk) return OfferOutcome::accepted;
  if (reply.status == kStatusConflict || reply.outcome == HttpOutcome::never_sent)
    return OfferOutcome::declined;
  return OfferOutcome::unknown;
}
}  // namespace

std::string encode(const ReleaseOffer& offer) { return to_bytes(offer); }

std::optional<ReleaseOffer> decode_offer(const std::string& bytes) {
  return from_bytes<ReleaseOffer>(bytes);
}

PeerOfferChannel::PeerOfferChannel(Loop& loop, const Settings& settings, AnswerOffer answer_offer)
    : self_(settings.node), answer_offer_(std::move(answer_offer)) {
  for (const Peer& peer : settings.peers) {
    peers_[peer.node] =
        std::make_unique<HttpClient>(loop, peer.address, kConnectionsPerPeer, kMaxQueuedRequests);
  }
}

void PeerOfferChannel::offer(const NodeId& holder, const ReleaseOffer& offer,
                             std::function<void(OfferOutcome)> then) {
  if (holder == self_) {
    then(outcome_of(answer_offer_(offer)));
    return;
  }
  const auto peer = peers_.find(holder);
  if (peer == peers_.end()) {
    then(OfferOutcome::declined);
    return;
  }
  peer->second->send(
      {EVHTTP_REQ_POST, kPath, encode(offer), "application/octet-stream", kRequestTimeout},
      [then = std::move(then)](const HttpReply& reply) { then(outcome_of(reply)); });
}

void PeerOfferChannel::serve(const HttpRequest& request, const ResponderPtr& responder) const {
  const auto offer = decode_offer(request.body);
  if (!offer) {
    responder->reply(kStatusBadRequest, "{}");
    return;
  }
  const bool accepted = answer_offer_(*offer) == OfferAnswer::accepted;
  responder->reply(accepted ? kStatusOk : kStatusConflict, "{}");
}

}  // namespace marblevale
