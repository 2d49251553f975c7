// Which of the leader's offers this holder has answered, so that a copy that comes late is told
// from an offer that is new.
#pragma once

#include <cstdint>
#include <set>

namespace marblevale {

class AnsweredOffers {
 public:
  /// More than a leader can have on their way. What is older than all that are remembered is taken
  /// for a copy.
  static constexpr std::size_t kMaxRemembered = 2'000;

  /// False: an offer of this serial was answered before, may have been, or its term is over.
  bool insert(std::uint64_t term, std::uint64_t serial);

 private:
  std::uint64_t term_ = 0;
  std::uint64_t forgotten_up_to_ = 0;  // serials up to here may have been answered
  std::set<std::uint64_t> serials_;
};

}  // namespace marblevale
