// A state service in memory that follows the published protocol: guards, revisions, leases and
// watches. A test scripts how the next commits fail and when requests are answered.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

#include "records/records.hpp"
#include "store/client.hpp"
#include "support/fake_time.hpp"

namespace marblevale::testing {

/// The largest value that the state service accepts, unless a test announces a lower limit.
inline constexpr std::size_t kValueBytes = 8192;

/// The state service of a test. Tests also read and write it directly, to act as other controllers.
/// Open watches are answered only by `deliver_watch_events`.
class ScriptedStore : public Store {
 public:
  /// The treatment of a commit. The outcome of a commit without an answer is `unknown`.
  enum class Script {
    normal,        // executed and answered
    refuse,        // answered with `refused`, not executed
    drop_request,  // neither executed nor answered
    drop_answer,   // executed, but not answered
    delay          // not answered, and executed by `apply_delayed`
  };
  /// The order of the changes within one answer of a watch. The published protocol promises none.
  enum class AnswerOrder { by_revision, newest_first, random };

  void read(const std::string& key, std::function<void(ReadResult)> then) override {
    ++reads;
    if (unavailable) {
      deliver([then = std::move(then)] { then({}); });
      return;
    }
    ReadResult result;
    result.kind = ReadResult::Kind::absent;
    if (const auto it = data_.find(key); it != data_.end()) {
      result.kind = ReadResult::Kind::found;
      result.entry = Entry{key, it->second.value, it->second.mod_revision};
    }
    deliver([then = std::move(then), result] { then(result); });
  }

  void range(const std::string& prefix, const std::string& after,
             std::function<void(std::optional<RangePage>)> then) override {
    range_requests.push_back(after);
    const bool fails = unavailable || failing_ranges > 0;
    if (failing_ranges > 0) --failing_ranges;
    if (fails) {
      deliver([then = std::move(then)] { then(std::nullopt); });
      return;
    }
    RangePage result;
    for (const auto& [key, entry] : data_) {
      if (key.compare(0, prefix.size(), prefix) != 0 || key <= after) continue;
      result.has_next = result.entries.size() >= page_size;
      if (result.has_next) break;
      result.entries.push_back({key, entry.value, entry.mod_revision});
    }
    result.revision = Revision(revision_);
    deliver([then = std::move(then), result] { then(result); });
  }

  void commit(RequestPriority, Transaction txn, std::function<void(CommitResult)> then) override {
    EXPECT_FALSE(changes_a_key_twice(txn)) << "nothing would tell which change is newer";
    commits.push_back(txn);
    if (enforces_announced_limits && too_large(txn)) {
      ++refused_for_size;
      if (exceeds_announced_value_limit(txn, limits_)) lower_limits(LimitsEvidence::refused_commit);
      CommitResult refusal;
      refusal.outcome = Outcome::refused;
      deliver([then = std::move(then), refusal] { then(refusal); });
      return;
    }
    const Script script = next_script(txn);
    CommitResult result;
    switch (script) {
      case Script::normal:
        result = apply(txn);
        break;
      case Script::refuse:
        result.outcome = Outcome::refused;
        break;
      case Script::drop_answer:
        apply(txn);
        break;
      case Script::drop_request:
        break;
      case Script::delay:
        delayed.push_back(txn);
        break;
    }
    deliver([then = std::move(then), result] { then(result); });
  }

  void watch(const std::string& prefix, Revision after, Duration,
             std::function<void(WatchResult)> then) override {
    watches_.push_back({prefix, after, std::move(then)});
  }

  void create_lease(Duration, std::function<void(LeaseResult)> then) override {
    const LeaseId lease_id(++last_lease_id_);
    deliver([then = std::move(then), lease_id] { then({Outcome::done, lease_id}); });
  }

  void renew_lease(LeaseId lease_id, std::function<void(LeaseResult)> then) override {
    const Outcome outcome =
        expired_leases_.contains(lease_id) ? Outcome::lease_expired : Outcome::done;
    deliver([then = std::move(then), outcome, lease_id] { then({outcome, lease_id}); });
  }

  [[nodiscard]] const StoreLimits& limits() const override { return limits_; }
  void lower_limits(LimitsEvidence) override {
    if (!limits_.next) return;
    limits_.value_bytes = limits_.next->value_bytes;
    limits_.txn_ops = limits_.next->txn_ops;
    limits_.next.reset();
  }
  /// Announces lower limits. Commits that exceed them are refused once
  /// `enforces_announced_limits` is set.
  void announce_limits(std::size_t value_bytes, std::size_t txn_ops) {
    announced_limits_ = AnnouncedLimits{1e6, 1e6, value_bytes, txn_ops};
    limits_.next = announced_limits_;
  }
  [[nodiscard]] double write_slack() override { return slack; }

  /// Answers each open watch with the changes after the revision that the watch started from.
  void deliver_watch_events() {
    std::vector<Watch> open;
    open.swap(watches_);
    for (const Watch& watch : open) {
      WatchResult result;
      result.kind = WatchResult::Kind::changes;
      const auto first = std::partition_point(log_.begin(), log_.end(), [&](const Change& change) {
        return change.mod_revision.get() <= watch.after.get();
      });
      std::copy_if(first, log_.end(), std::back_inserter(result.changes),
                   [&](const Change& change) {
                     return change.key.compare(0, watch.prefix.size(), watch.prefix) == 0;
                   });
      result.revision = Revision(revision_);
      if (watch.after.get() < oldest_watchable_) {
        result = WatchResult{WatchResult::Kind::too_old, {}, {}};
      }
      apply_answer_order(result.changes);
      watch.then(result);
    }
  }

  /// Draws the order of the changes within each answer of a watch from the seed.
  void draw_answer_order(std::uint64_t seed) {
    answer_order = AnswerOrder::random;
    order_random_.seed(seed);
  }

  /// Forgets the changes so far, so that a watch that has not seen them all is too old.
  void forget_changes() { oldest_watchable_ = revision_; }

  /// Executes the oldest delayed transaction.
  CommitResult apply_delayed() {
    const Transaction txn = delayed.front();
    delayed.pop_front();
    return apply(txn);
  }

  /// Writes a value as another controller would; returns its revision.
  ModRevision put(const std::string& key, const std::string& value) {
    Transaction txn;
    txn.put(key, value);
    return ModRevision(apply(txn).revision.get());
  }

  /// Deletes a key as another controller would.
  void remove(const std::string& key) {
    Transaction txn;
    txn.remove(key);
    apply(txn);
  }

  /// Writes a machine's record into its page, and keeps the records of the page's other machines.
  void put_machine(const MachineRecord& machine) {
    const std::string key = keys::machine_page(machine.zone, machine.machine_id);
    MachinePage page;
    json::Document doc;
    if (const auto entry = get(key); entry && json::parse(doc, entry->value)) decode(doc, page);
    std::erase_if(page.machines, [&](const auto& m) { return m.machine_id == machine.machine_id; });
    page.machines.push_back(machine);
    put(key, encode(page, RecordSize{limits_.value_bytes, false}));
  }

  /// Lets renewals of the lease and puts bound to it fail. Keys that are bound to it stay.
  void expire_lease(LeaseId lease_id) { expired_leases_.insert(lease_id); }

  /// Expires the lease to which the key is bound, and deletes all keys that are bound to it.
  void expire_lease_of(const std::string& key) {
    const LeaseId lease_id = data_.at(key).lease_id;
    expire_lease(lease_id);
    Transaction txn;
    for (const auto& [path, stored] : data_) {
      if (stored.lease_id == lease_id) txn.remove(path);
    }
    apply(txn);
  }

  [[nodiscard]] std::optional<Entry> get(const std::string& key) const {
    const auto it = data_.find(key);
    if (it == data_.end()) return std::nullopt;
    return Entry{key, it->second.value, it->second.mod_revision};
  }

  /// Delivers the answers that were held while `hold_answers` was set.
  void deliver_held_answers() {
    while (!held_answers.empty()) {
      const auto next = std::move(held_answers.front());
      held_answers.pop_front();
      next();
    }
  }

  double slack = 1;  // of the write budget, from 0 to 1
  bool unavailable = false;
  bool hold_answers = false;
  int reads = 0;
  std::size_t page_size = 1000;             // entries in one page of a range read
  int failing_ranges = 0;                   // number of the next range reads that fail
  std::vector<std::string> range_requests;  // the `after` key of each range read
  std::deque<Script> scripts;               // for the next commits, with any keys
  /// For the next commits that put the key; these commits use up none of `scripts`.
  std::map<std::string, std::deque<Script>> key_scripts;
  std::deque<Transaction> delayed;
  std::deque<std::function<void()>> held_answers;
  std::vector<Transaction> commits;
  bool enforces_announced_limits = false;  // true: commits over the announced limits are refused
  int refused_for_size = 0;  // commits refused because they exceed the announced limits
  AnswerOrder answer_order = AnswerOrder::by_revision;

 private:
  struct StoredValue {
    std::string value;
    ModRevision mod_revision;
    LeaseId lease_id;
  };
  struct Watch {
    std::string prefix;
    Revision after;
    std::function<void(WatchResult)> then;
  };

  void apply_answer_order(std::vector<Change>& changes) {
    switch (answer_order) {
      case AnswerOrder::by_revision:
        break;
      case AnswerOrder::newest_first:
        std::reverse(changes.begin(), changes.end());
        break;
      case AnswerOrder::random:
        std::shuffle(changes.begin(), changes.end(), order_random_);
        break;
    }
  }

  Script next_script(const Transaction& txn) {
    const auto scripted = std::find_if(txn.puts.begin(), txn.puts.end(), [this](const Put& put) {
      const auto it = key_scripts.find(put.key);
      return it != key_scripts.end() && !it->second.empty();
    });
    std::deque<Script>& queue = scripted == txn.puts.end() ? scripts : key_scripts[scripted->key];
    if (queue.empty()) return Script::normal;
    const Script script = queue.front();
    queue.pop_front();
    return script;
  }

  static bool changes_a_key_twice(const Transaction& txn) {
    std::set<std::string> keys(txn.deletes.begin(), txn.deletes.end());
    for (const Put& put : txn.puts) keys.insert(put.key);
    return keys.size() < txn.puts.size() + txn.deletes.size();
  }

  [[nodiscard]] bool too_large(const Transaction& txn) const {
    if (txn.puts.size() + txn.deletes.size() > announced_limits_.txn_ops) return true;
    return std::any_of(txn.puts.begin(), txn.puts.end(), [this](const Put& put) {
      return put.value.size() > announced_limits_.value_bytes;
    });
  }

  void deliver(std::function<void()> answer) {
    if (hold_answers) {
      held_answers.push_back(std::move(answer));
    } else {
      answer();
    }
  }

  CommitResult apply(const Transaction& txn) {
    CommitResult result;
    for (const auto& [key, mod_revision] : txn.guards) {
      const auto it = data_.find(key);
      if ((it == data_.end() ? ModRevision{} : it->second.mod_revision) != mod_revision)
        result.failed.push_back(key);
    }
    if (!result.failed.empty()) {
      result.outcome = Outcome::conflict;
      result.revision = Revision(revision_);
      return result;
    }
    for (const Put& put : txn.puts) {
      if (put.lease_id != LeaseId{} && expired_leases_.contains(put.lease_id)) {
        result.outcome = Outcome::lease_expired;
        return result;
      }
    }
    const ModRevision mod_revision(++revision_);
    for (const Put& put : txn.puts) {
      data_[put.key] = {put.value, mod_revision, put.lease_id};
      log_.push_back({put.key, put.value, mod_revision});
    }
    for (const auto& key : txn.deletes) {
      if (data_.erase(key) > 0) log_.push_back({key, std::nullopt, mod_revision});
    }
    result.outcome = Outcome::done;
    result.revision = Revision(revision_);
    return result;
  }

  std::map<std::string, StoredValue> data_;
  std::vector<Change> log_;
  std::uint64_t revision_ = 0;
  std::uint64_t oldest_watchable_ = 0;  // a watch from an earlier revision is too old
  std::mt19937_64 order_random_;
  std::uint64_t last_lease_id_ = 0;
  std::set<LeaseId> expired_leases_;
  std::vector<Watch> watches_;
  AnnouncedLimits announced_limits_;
  StoreLimits limits_{1e6, 1e6, kValueBytes, 16, 3, {}};  // no throttling: tests advance time
};

using Script = ScriptedStore::Script;
using AnswerOrder = ScriptedStore::AnswerOrder;

}  // namespace marblevale::testing
