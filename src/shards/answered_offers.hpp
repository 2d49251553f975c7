/// Remembers the answers that this holder gave to the leader's offers, in bounded memory. A late
/// duplicate of an offer gets the answer of the first delivery and is not bound as a new offer.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "peers/offers.hpp"

namespace marblevale {

class AnsweredOffers {
 public:
  /// Exceeds the number of offers that a leader can have in flight.
  static constexpr std::size_t kMaxRemembered = 2'000;

  /// Returns the answer that was given to the offer with this sequence number, or nothing for a new
  /// offer. An offer of an earlier term, or one that is too old to be remembered, counts as
  /// accepted, because it may have been accepted.
  [[nodiscard]] std::optional<OfferAnswer> find(std::uint64_t term, std::uint64_t sequence) const;
  void remember(std::uint64_t term, std::uint64_t sequence, OfferAnswer answer);

 private:
  std::uint64_t term_ = 0;
  std::uint64_t forgotten_up_to_ = 0;  // up to this sequence number, answers may have been dropped
  std::map<std::uint64_t, OfferAnswer> answers_;  // of `term_`, by sequence number
};

}  // namespace marblevale
