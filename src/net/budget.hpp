// What a client may spend: a token bucket, and backoff with jitter.
#pragma once

#include <algorithm>
#include <random>

#include "core/time.hpp"

namespace marblevale {

class TokenBucket {
 public:
  TokenBucket(double per_second, double burst)
      : per_second_(per_second), burst_(burst), tokens_(burst) {}

  /// Takes `amount` if that leaves at least `keep` for more important callers.
  bool take(Steady now, double amount, double keep = 0) {
    refill(now);
    if (tokens_ - amount < keep) return false;
    tokens_ -= amount;
    return true;
  }

  /// How long until `take` of this much could succeed.
  Span wait(Steady now, double amount, double keep = 0) {
    refill(now);
    const double lacking = amount + keep - tokens_;
    return lacking <= 0 ? Span{0}
                        : Span{static_cast<std::int64_t>(lacking / per_second_ * 1000) + 1};
  }

 private:
  void refill(Steady now) {
    if (started_ && now > last_) {
      tokens_ = std::min(burst_, tokens_ + per_second_ * (now - last_).seconds());
    }
    started_ = true;
    last_ = now;
  }

  double per_second_;
  double burst_;
  double tokens_;
  bool started_ = false;
  Steady last_{};
};

/// Exponential backoff with full jitter in its upper half.
class Backoff {
 public:
  Backoff(Span first, Span most) : first_(first), most_(most), next_(first) {}
  template <typename Engine>
  Span next(Engine& engine) {
    const Span base = next_;
    next_ = std::min(most_, next_ * 2.0);
    return base * std::uniform_real_distribution<>(0.5, 1.0)(engine);
  }
  void reset() { next_ = first_; }

 private:
  Span first_;
  Span most_;
  Span next_;
};

}  // namespace marblevale
