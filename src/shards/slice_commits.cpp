#include "shards/slice_commits.hpp"

#include <utility>

namespace marblevale {

namespace {
constexpr Duration kRetryDelay{150};  // after a commit that did not pass
}  // namespace

void SliceCommits::commit(const SliceKey& key, Transaction txn, std::function<void()> on_refused) {
  in_flight_.insert(key);
  auto on_answer = [this, key, on_refused = std::move(on_refused)](const CommitResult& result) {
    in_flight_.erase(key);
    if (on_refused && result.outcome == Outcome::refused) on_refused();
    // Whatever became of it is decided anew from the records; an unknown commit can't pass twice,
    // since each is guarded by the slice's own revision.
    work_.mark_dirty(key);
    if (result.outcome == Outcome::done) {
      work_.schedule_round();
    } else {
      work_.schedule_round(kRetryDelay);
    }
  };
  cache_.commit(binding_priority(cache_.records(), key.job_id), std::move(txn),
                std::move(on_answer));
}

}  // namespace marblevale
