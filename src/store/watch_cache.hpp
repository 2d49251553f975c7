// An in-memory copy of the live records, kept up to date by one watch. The copy may lag, so every
// decision made from it is committed with guards: a commit decided from outdated records fails.
#pragma once

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "net/loop.hpp"
#include "net/rate_limit.hpp"
#include "records/record_set.hpp"
#include "store/fresh_waiters.hpp"
#include "store/record_key.hpp"
#include "store/record_table.hpp"
#include "store/store.hpp"

namespace marblevale {

class WatchCache {
 public:
  /// `loading`: reads all records, page by page; `following`: applies the changes that the watch
  /// returns.
  enum class State { loading, following };

  WatchCache(Loop& loop, const Clock& clock, Store& store, std::uint64_t seed);

  void begin();
  [[nodiscard]] State state() const { return state_; }
  /// True once all records have been loaded. The old records remain readable while they are loaded
  /// again.
  [[nodiscard]] bool ready() const { return ever_loaded_; }
  /// Every change up to this revision has been returned by the load or the watch.
  [[nodiscard]] Revision revision() const { return revision_; }
  [[nodiscard]] const Records& records() const { return table_.records(); }
  /// Every change committed before this time is in the records.
  [[nodiscard]] SteadyTime fresh_until() const { return fresh_until_.steady; }
  [[nodiscard]] WallTime fresh_until_wall() const { return fresh_until_.wall; }

  /// False while the copy has an own commit of the key that the watch has not returned yet. Commits
  /// that other controllers made before it may be missing from the copy.
  [[nodiscard]] bool observed_by_watch(const std::string& key) const;

  /// Calls back with true once every change committed before this call is in the records, or with
  /// false after a timeout. Calls back with false at once before the first load has finished or
  /// when too many callers wait.
  void when_fresh(std::function<void(bool fresh)> then);

  /// The size that a record may have now. Compact encodings are allowed while no limits are
  /// announced that are not yet in force and every live controller can read compact encodings.
  [[nodiscard]] RecordSize record_size() const;
  /// Bytes of one value that fit now and under the announced limits.
  [[nodiscard]] std::size_t lasting_value_bytes() const {
    return store_.limits().lasting_value_bytes();
  }
  /// Puts and deletes of one transaction that fit now and under the announced limits.
  [[nodiscard]] std::size_t max_operations() const { return store_.limits().max_operations(); }
  /// The share of the write budget that is unused, from 0 to 1.
  [[nodiscard]] double write_slack() { return store_.write_slack(); }

  /// Registers a listener that is called with a record's kind and name after each of its changes,
  /// for the changes of one answer in the order of their commits. Between these calls the copy may
  /// have a transaction in part, and `revision` is still that of the answer before, so a listener
  /// only notes what changed.
  void listen(std::function<void(RecordKind, const std::string& name)> listener);

  /// Commits the transaction. On success the copy has the change before `then` is called.
  void commit(RequestPriority priority, Transaction txn,
              std::function<void(const CommitResult&)> then);

  /// Applies one change, unless the copy has this or a newer revision of the key. Changes of a key
  /// that may have been deleted must be applied in the order of their revisions. Public for tests.
  void apply(const Change& change);

 private:
  /// A point in time by both clocks.
  struct Moment {
    SteadyTime steady{};
    WallTime wall{};
  };
  /// The state of a load of all records.
  struct Load {
    Moment started_at;                 // when the first page was requested
    std::optional<Revision> revision;  // of the first page
    std::string last_key;              // of the previous page
    std::unordered_set<std::string> seen_keys;
  };

  [[nodiscard]] Moment current_moment() const { return {clock_.steady(), clock_.wall()}; }
  void transition(State next);
  void retry();
  void begin_load();
  void resume_load();
  void load_page();
  void apply_page(RangePage page);
  void erase_unseen();
  void finish_load();
  void open_watch();
  void handle_watch_result(const WatchResult& result, const Moment& opened);
  void apply_watched(const WatchResult& result, const Moment& opened);
  void apply_own_commit(const Transaction& txn, ModRevision mod_revision);
  /// True when the copy has the change's revision of its key or a newer one.
  [[nodiscard]] bool is_outdated(const Change& change) const;

  Metrics& metrics_;
  const Clock& clock_;
  Store& store_;
  std::mt19937_64 random_;
  State state_ = State::loading;
  bool ever_loaded_ = false;
  RecordTable table_;
  std::unordered_map<std::string, ModRevision> mod_revisions_;
  /// Own deletions that the watch has not returned yet.
  std::unordered_map<std::string, ModRevision> own_deletions_;
  Load load_;
  Revision revision_;
  Moment fresh_until_;
  FreshWaiters fresh_waiters_;
  SteadyTime last_watch_opened_{};
  Duration watch_interval_{};  // minimum time between two openings of the watch
  Backoff backoff_;
  Timer retry_timer_;
  Timer watch_timer_;
  std::vector<std::function<void(RecordKind, const std::string&)>> listeners_;
};

}  // namespace marblevale
