#include "blocks/answered_offers.hpp"

namespace marblevale {

bool AnsweredOffers::insert(std::uint64_t term, std::uint64_t serial) {
  if (term < term_) return false;
  if (term > term_) {
    term_ = term;
    forgotten_up_to_ = 0;
    serials_.clear();
  }
  if (serial <= forgotten_up_to_ || !serials_.insert(serial).second) return false;
  while (serials_.size() > kMaxRemembered) {
    forgotten_up_to_ = *serials_.begin();
    serials_.erase(serials_.begin());
  }
  return true;
}

}  // namespace marblevale
