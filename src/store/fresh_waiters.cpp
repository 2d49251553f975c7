#include "store/fresh_waiters.hpp"

#include <utility>

namespace marblevale {

namespace {

constexpr Duration kTimeout{1500};  // users give up on a reply after 2 s
constexpr std::size_t kMaxWaiters = 4000;

}  // namespace

FreshWaiters::FreshWaiters(Loop& loop, const Clock& clock, std::function<SteadyTime()> fresh_until)
    : clock_(clock),
      fresh_until_(std::move(fresh_until)),
      timeout_timer_(loop, [this] { notify(); }) {}

void FreshWaiters::add(Handler then) {
  if (waiters_.size() >= kMaxWaiters) {
    then(false);
    return;
  }
  waiters_.push_back({clock_.steady(), std::move(then)});
  if (!timeout_timer_.pending()) timeout_timer_.start(kTimeout);
}

void FreshWaiters::notify() {
  const SteadyTime now = clock_.steady();
  while (!waiters_.empty()) {
    const SteadyTime since = waiters_.front().since;
    const bool fresh = since < fresh_until_();
    if (!fresh && now - since < kTimeout) break;
    const auto then = std::move(waiters_.front().then);
    waiters_.pop_front();
    then(fresh);
  }
  if (waiters_.empty()) return;
  timeout_timer_.start(kTimeout - (now - waiters_.front().since));
}

}  // namespace marblevale
