// A copy of the live records in memory, kept up by one watch. It may lag; whatever is decided from
// it is committed under guards, so that a decision from an old copy fails.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "records/record_set.hpp"
#include "store/client.hpp"

namespace marblevale {

/// What changed, for those who listen.
enum class RecordKind {
  leader,
  types,
  node,
  shard,
  job,
  guarantee_record,
  slice,
  machine,
  provisioning_request
};

/// How urgent it is to write what becomes of the job's tasks.
[[nodiscard]] RequestPriority binding_priority(const Records& records, const JobId& job_id);

class WatchCache {
 public:
  enum class State { loading, following };

  WatchCache(Loop& loop, const Clock& clock, Store& store, std::uint64_t seed);

  void begin();
  [[nodiscard]] State state() const { return state_; }
  [[nodiscard]] bool ready() const { return ever_loaded_; }
  /// Every change up to this revision has been told by the watch.
  [[nodiscard]] Revision revision() const { return revision_; }
  [[nodiscard]] const Records& records() const { return records_; }
  /// All that was committed before this moment is in the records.
  [[nodiscard]] SteadyTime fresh_until() const { return fresh_until_; }
  [[nodiscard]] WallTime fresh_until_wall() const { return fresh_until_wall_; }

  /// False when the copy has an own commit of the key that the watch has not told yet: what others
  /// committed before it may be missing.
  [[nodiscard]] bool observed_by_watch(const std::string& key) const;

  /// Calls back once all that was committed before this call is in the records, or with false when
  /// that does not come about in time.
  void when_fresh(std::function<void(bool)> then);

  /// What a record may take now. Compact forms are allowed once no lower limits are only
  /// announced, and while every controller that lives reads them.
  [[nodiscard]] RecordSize record_size() const;
  /// What a value may take so that it can be rewritten under the announced limits as well.
  [[nodiscard]] std::size_t lasting_value_bytes() const {
    return store_.limits().lasting_value_bytes();
  }
  /// Changes of one transaction that fit now and under the announced limits.
  [[nodiscard]] std::size_t max_operations() const { return store_.limits().max_operations(); }
  /// How much of the budget for writes is to spare, from 0 to 1.
  [[nodiscard]] double write_slack() { return store_.write_slack(); }

  void listen(std::function<void(RecordKind, const std::string& key)> listener);

  /// Commits, and on success takes the change into the copy at once.
  void commit(RequestPriority rank, Transaction txn, std::function<void(const CommitResult&)> then);

  /// Applies one change (public for tests).
  void apply(const Change& change);

 private:
  void transition(State next, const char* why);
  void load(const std::string& after);
  void follow();
  void retry();
  void answer_waiting();
  bool place_page(const std::string& key, const json::Document* value, ModRevision mod_revision,
                  std::vector<std::string>& changed);
  void index(const SliceRecord& slice, bool add);

  Metrics& metrics_;
  const Clock& clock_;
  Store& store_;
  std::mt19937_64 random_;
  State state_ = State::loading;
  bool ever_loaded_ = false;
  Records records_;
  std::unordered_map<std::string, ModRevision> mod_revisions_;
  std::unordered_map<std::string, ModRevision>
      removed_;  // own deletions that the watch has not told yet
  std::unordered_map<std::string, ModRevision> loading_;
  Revision revision_;
  Revision load_from_;
  std::string load_after_;  // the key before the page that is being loaded
  SteadyTime load_sent_{};
  WallTime load_sent_wall_{};
  SteadyTime fresh_until_{};
  WallTime fresh_until_wall_{};
  struct Waiting {
    SteadyTime asked;
    std::function<void(bool)> then;
  };
  std::deque<Waiting> waiting_;
  SteadyTime last_follow_{};
  Backoff backoff_;
  Duration pace_{};  // between two openings of the watch
  Timer retry_;
  Timer follow_later_;
  Timer give_up_;
  std::vector<std::function<void(RecordKind, const std::string&)>> listeners_;
};

}  // namespace marblevale
