#include "shards/answered_offers.hpp"

namespace marblevale {

std::optional<OfferAnswer> AnsweredOffers::find(std::uint64_t term, std::uint64_t sequence) const {
  if (term > term_) return std::nullopt;
  if (term < term_ || sequence <= forgotten_up_to_) return OfferAnswer::accepted;
  const auto it = answers_.find(sequence);
  if (it == answers_.end()) return std::nullopt;
  return it->second;
}

void AnsweredOffers::remember(std::uint64_t term, std::uint64_t sequence, OfferAnswer answer) {
  if (term < term_) return;
  if (term > term_) {
    term_ = term;
    forgotten_up_to_ = 0;
    answers_.clear();
  }
  answers_[sequence] = answer;
  while (answers_.size() > kMaxRemembered) {
    forgotten_up_to_ = answers_.begin()->first;
    answers_.erase(answers_.begin());
  }
}

}  // namespace marblevale
