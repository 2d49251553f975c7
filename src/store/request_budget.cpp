#include "store/request_budget.hpp"

#include <algorithm>

namespace marblevale {

namespace {

constexpr double kMaxShare = 0.75;       // of the published rate
constexpr double kMinEqualShare = 0.5;   // of the equal share
constexpr double kIncreaseStep = 0.025;  // of the published rate, per interval
constexpr double kDecreaseFactor = 0.75;
// Of the published write rate; the rest prevents the starvation of bindings.
constexpr double kSubmissionShare = 0.6;
// A user waits for a submission, so it may overdraw the write budget by the equal share of one
// second. The other nodes seldom use all of their shares, and a reply of 429 only costs a retry.
constexpr double kSubmissionCreditSeconds = 1.0;
constexpr Duration kNoSlackAfterReduction{3'000};

void raise(TokenBucket& bucket, double published_rate) {
  bucket.set_rate(
      std::min(published_rate * kMaxShare, bucket.rate() + published_rate * kIncreaseStep));
}

}  // namespace

RequestBudget::RequestBudget(const StoreLimits& limits)
    : limits_(limits),
      requests_(equal_share(limits.rps), equal_share(limits.rps)),
      writes_(equal_share(limits.write_rps), equal_share(limits.write_rps)),
      submissions_(limits.write_rps * kSubmissionShare, limits.write_rps * kSubmissionShare) {}

double RequestBudget::equal_share(double rate) const {
  return rate / static_cast<double>(limits_.nodes);
}

double RequestBudget::write_credit(RequestPriority priority) const {
  return priority == RequestPriority::submission
             ? equal_share(limits_.write_rps) * kSubmissionCreditSeconds
             : 0;
}

Duration RequestBudget::wait_for_writes(SteadyTime now, double writes, RequestPriority priority) {
  return writes_.wait(now, writes, -write_credit(priority));
}

void RequestBudget::take_writes(SteadyTime now, double writes, RequestPriority priority) {
  writes_.take(now, writes, -write_credit(priority));
}

void RequestBudget::adapt() {
  if (short_of_requests_) raise(requests_, limits_.rps);
  if (short_of_writes_) raise(writes_, limits_.write_rps);
  short_of_requests_ = false;
  short_of_writes_ = false;
}

void RequestBudget::reduce(SteadyTime now, bool writes) {
  if (now - last_reduced_ < scaled(kAdaptInterval, 0.5)) return;
  last_reduced_ = now;
  const auto reduce_bucket = [this](TokenBucket& bucket, double published_rate) {
    bucket.set_rate(
        std::max(equal_share(published_rate) * kMinEqualShare, bucket.rate() * kDecreaseFactor));
  };
  reduce_bucket(requests_, limits_.rps);
  if (writes) reduce_bucket(writes_, limits_.write_rps);
}

void RequestBudget::apply_lowered_limits() {
  requests_.set_rate(std::min(requests_.rate(), equal_share(limits_.rps)));
  writes_.set_rate(std::min(writes_.rate(), equal_share(limits_.write_rps)));
  submissions_.set_rate(limits_.write_rps * kSubmissionShare);
}

double RequestBudget::write_slack(SteadyTime now) {
  // A recent 429 means that other nodes use the rate that this node's bucket counts as unused.
  return now - last_reduced_ < kNoSlackAfterReduction ? 0 : writes_.fill_ratio(now);
}

}  // namespace marblevale
