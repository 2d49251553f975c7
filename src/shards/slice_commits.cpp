#include "shards/slice_commits.hpp"

#include <utility>

namespace marblevale {

namespace {
constexpr Duration kReconcileDelayAfterFailure{150};
}  // namespace

void SliceCommits::commit(const SliceKey& key, Transaction txn,
                          std::function<void()> on_rate_limited) {
  in_flight_.insert(key);
  auto on_answer = [this, key,
                    on_rate_limited = std::move(on_rate_limited)](const CommitResult& result) {
    in_flight_.erase(key);
    if (on_rate_limited && result.outcome == Outcome::refused) on_rate_limited();
    // After every outcome the slice is reconciled from the records. A commit with an unknown
    // outcome cannot succeed twice, because each commit is conditional on the slice's revision.
    work_.mark_dirty(key);
    if (result.outcome == Outcome::done) {
      work_.schedule_round();
    } else {
      work_.schedule_round(kReconcileDelayAfterFailure);
    }
  };
  cache_.commit(binding_priority(cache_.records(), key.job_id), std::move(txn),
                std::move(on_answer));
}

}  // namespace marblevale
