#include "peers/offers.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "peers/archive.hpp"

namespace marblevale {

namespace {
constexpr Duration kDeadline{1000};
constexpr std::size_t kQueueLimit = 64;
}  // namespace

std::string encode(const ReleaseOffer& offer) { return to_bytes(offer); }

std::optional<ReleaseOffer> decode_offer(const std::string& bytes) {
  return from_bytes<ReleaseOffer>(bytes);
}

Offers::Offers(Loop& loop, const Settings& settings, Take take)
    : self_(settings.node), take_(std::move(take)) {
  for (const Peer& peer : settings.peers) {
    peers_[peer.node] = std::make_unique<HttpClient>(loop, peer.address, 2, kQueueLimit);
  }
}

void Offers::offer(const NodeId& holder, const ReleaseOffer& offer,
                   std::function<void(OfferOutcome)> then) {
  if (holder == self_) {
    then(take_(offer) ? OfferOutcome::taken : OfferOutcome::declined);
    return;
  }
  const auto peer = peers_.find(holder);
  if (peer == peers_.end()) {
    then(OfferOutcome::declined);
    return;
  }
  peer->second->send({EVHTTP_REQ_POST, kPath, encode(offer), "application/octet-stream", kDeadline},
                     [then = std::move(then)](const HttpReply& reply) {
                       then(reply.status == 200 ? OfferOutcome::taken
                            : reply.status == 409 || reply.outcome == HttpOutcome::never_sent
                                ? OfferOutcome::declined
                                : OfferOutcome::unknown);
                     });
}

void Offers::serve(const HttpRequest& request, const ResponderPtr& responder) const {
  const auto offer = decode_offer(request.body);
  if (!offer) {
    responder->reply(400, "{}");
    return;
  }
  responder->reply(take_(*offer) ? 200 : 409, "{}");
}

}  // namespace marblevale
