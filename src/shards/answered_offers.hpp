/// The answers that this holder gave to the leader's offers, so that a late copy of an offer is
/// told apart from a new offer and gets the same answer as the first delivery.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "peers/offers.hpp"

namespace marblevale {

class AnsweredOffers {
 public:
  /// More than a leader can have in flight.
  static constexpr std::size_t kMaxRemembered = 2'000;

  /// The answer that the offer with this sequence number got; nothing for a new offer. An offer
  /// that is too old to be remembered counts as accepted, since it may have been.
  [[nodiscard]] std::optional<OfferAnswer> find(std::uint64_t term, std::uint64_t sequence) const;
  void remember(std::uint64_t term, std::uint64_t sequence, OfferAnswer answer);

 private:
  std::uint64_t term_ = 0;
  std::uint64_t forgotten_up_to_ = 0;  // offers up to this sequence number may have been answered
  std::map<std::uint64_t, OfferAnswer> answers_;  // by sequence number, of the term
};

}  // namespace marblevale
