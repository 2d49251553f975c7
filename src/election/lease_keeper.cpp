#include "election/lease_keeper.hpp"

namespace marblevale {

namespace {
constexpr double kRenewalFraction = 0.25;  // of the TTL
}  // namespace

LeaseKeeper::LeaseKeeper(Loop& loop, Store& store, Timing timing, Callbacks callbacks)
    : store_(store),
      timing_(std::move(timing)),
      callbacks_(std::move(callbacks)),
      timer_(loop, [this] { is_open() ? renew() : open(); }) {}

void LeaseKeeper::open() {
  store_.create_lease(timing_.ttl, [this](const LeaseResult& result) {
    if (result.outcome != Outcome::done) {
      timer_.start(timing_.open_backoff());
      return;
    }
    id_ = result.lease_id;
    timer_.start(scaled(timing_.ttl, kRenewalFraction));
    callbacks_.opened();
  });
}

void LeaseKeeper::renew() {
  store_.renew_lease(id_, [this](const LeaseResult& result) {
    if (result.outcome == Outcome::lease_expired) {
      id_ = LeaseId{};
      callbacks_.expired();
      open();
      return;
    }
    const bool renewed = result.outcome == Outcome::done;
    timer_.start(scaled(timing_.ttl, renewed ? kRenewalFraction : timing_.retry_fraction));
  });
}

}  // namespace marblevale
