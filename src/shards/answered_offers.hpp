// What this holder has answered to the leader's offers, so that a copy that comes late is told from
// an offer that is new, and gets the answer that the first one got.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

namespace marblevale {

class AnsweredOffers {
 public:
  /// More than a leader can have on their way.
  static constexpr std::size_t kMaxRemembered = 2'000;

  enum class Answer { taken, declined };

  /// The answer that an offer of this serial got before; nothing for a new one. What is too old to
  /// be remembered may have been taken.
  [[nodiscard]] std::optional<Answer> find(std::uint64_t term, std::uint64_t serial) const;
  void remember(std::uint64_t term, std::uint64_t serial, Answer answer);

 private:
  std::uint64_t term_ = 0;
  std::uint64_t forgotten_up_to_ = 0;  // serials up to here may have been answered
  std::map<std::uint64_t, Answer> answers_;
};

}  // namespace marblevale
