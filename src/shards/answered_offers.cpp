#include "shards/answered_offers.hpp"

namespace marblevale {

std::optional<AnsweredOffers::Answer> AnsweredOffers::find(std::uint64_t term,
                                                           std::uint64_t serial) const {
  if (term > term_) return std::nullopt;
  if (term < term_ || serial <= forgotten_up_to_) return Answer::taken;
  const auto it = answers_.find(serial);
  if (it == answers_.end()) return std::nullopt;
  return it->second;
}

void AnsweredOffers::remember(std::uint64_t term, std::uint64_t serial, Answer answer) {
  if (term < term_) return;
  if (term > term_) {
    term_ = term;
    forgotten_up_to_ = 0;
    answers_.clear();
  }
  answers_[serial] = answer;
  while (answers_.size() > kMaxRemembered) {
    forgotten_up_to_ = answers_.begin()->first;
    answers_.erase(answers_.begin());
  }
}

}  // namespace marblevale
