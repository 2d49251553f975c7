// A state service in memory, by the published protocol: guards, stamps, leases, watches. What it
// does with the next commits, and when it answers, is scripted by the test.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "core/time.hpp"
#include "net/loop.hpp"
#include "store/client.hpp"
#include "store/records.hpp"

namespace marblevale::testing {

/// Time that stands still until the test moves it; timers fire in their order on the way.
class FakeTime : public Clock, public TimerQueue {
 public:
  [[nodiscard]] Steady steady() const override { return {now_}; }
  [[nodiscard]] Wall wall() const override { return {now_ + 1'000'000}; }

  void arm(Timer& timer, Span after) override {
    disarm(timer);
    due_.emplace(std::make_pair(now_ + after.ms, serial_++), &timer);
  }
  void disarm(Timer& timer) override {
    std::erase_if(due_, [&](const auto& entry) { return entry.second == &timer; });
  }
  [[nodiscard]] bool armed(const Timer& timer) const override {
    return std::any_of(due_.begin(), due_.end(),
                       [&](const auto& entry) { return entry.second == &timer; });
  }

  void advance(Span by) {
    const std::int64_t until = now_ + by.ms;
    while (!due_.empty() && due_.begin()->first.first <= until) {
      now_ = std::max(now_, due_.begin()->first.first);
      Timer* timer = due_.begin()->second;
      due_.erase(due_.begin());
      timer->fire();
    }
    now_ = until;
  }

  /// The clocks run on, and nothing is done meanwhile: all that was due is late.
  void stand_still(Span span) { now_ += span.ms; }

 private:
  std::int64_t now_ = 10'000'000;
  std::uint64_t serial_ = 0;
  std::map<std::pair<std::int64_t, std::uint64_t>, Timer*> due_;
};

class ScriptedStore : public Store {
 public:
  enum class Script { normal, refuse, lose_request, lose_answer, arrive_late };

  void read(const std::string& key, std::function<void(ReadResult)> then) override {
    ++reads;
    if (down) {
      deliver([then = std::move(then)] { then({}); });
      return;
    }
    ReadResult result;
    result.ok = true;
    if (const auto it = data_.find(key); it != data_.end()) {
      result.entry = Entry{key, it->second.value, it->second.stamp};
    }
    deliver([then = std::move(then), result] { then(result); });
  }

  void range(const std::string& prefix, const std::string& after,
             std::function<void(RangeResult)> then) override {
    RangeResult result;
    ranges.push_back(after);
    result.ok = !down && failing_ranges == 0;
    if (failing_ranges > 0) --failing_ranges;
    for (const auto& [key, entry] : data_) {
      if (key.compare(0, prefix.size(), prefix) != 0 || key <= after) continue;
      result.has_next = result.items.size() >= page;
      if (result.has_next) break;
      result.items.push_back({key, entry.value, entry.stamp});
    }
    result.revision = Revision(revision_);
    deliver([then = std::move(then), result] { then(result); });
  }

  void commit(Rank, Txn txn, std::function<void(CommitResult)> then) override {
    commits.push_back(txn);
    const Script script = scripts.empty() ? Script::normal : scripts.front();
    if (!scripts.empty()) scripts.pop_front();
    CommitResult result;
    switch (script) {
      case Script::normal:
        result = apply(txn);
        break;
      case Script::refuse:
        result.fate = Fate::refused;
        break;
      case Script::lose_answer:
        apply(txn);
        break;
      case Script::lose_request:
        break;
      case Script::arrive_late:
        late.push_back(txn);
        break;
    }
    deliver([then = std::move(then), result] { then(result); });
  }

  void watch(const std::string& prefix, Revision after, Span,
             std::function<void(WatchResult)> then) override {
    watches_.push_back({prefix, after, std::move(then)});
  }

  void create_permit(Span, std::function<void(PermitResult)> then) override {
    const Permit permit(++permits_);
    deliver([then = std::move(then), permit] { then({Fate::done, permit}); });
  }

  void touch_permit(Permit permit, std::function<void(PermitResult)> then) override {
    const Fate fate = ended_.contains(permit) ? Fate::no_permit : Fate::done;
    deliver([then = std::move(then), fate, permit] { then({fate, permit}); });
  }

  [[nodiscard]] const StoreLimits& limits() const override { return limits_; }
  [[nodiscard]] double write_slack() override { return slack; }

  /// Tells each open watch what has changed since it was opened.
  void tell_watch() {
    std::vector<Watch> open;
    open.swap(watches_);
    for (const Watch& watch : open) {
      WatchResult result;
      result.kind = WatchResult::Kind::changes;
      for (const Change& change : log_) {
        if (change.stamp.get() > watch.after.get() &&
            change.key.compare(0, watch.prefix.size(), watch.prefix) == 0) {
          result.log.push_back(change);
        }
      }
      result.revision = Revision(revision_);
      watch.then(result);
    }
  }

  /// Lets one late transaction arrive.
  CommitResult arrive() {
    const Txn txn = late.front();
    late.pop_front();
    return apply(txn);
  }

  /// What another controller writes.
  Stamp put(const std::string& key, const std::string& value) {
    Txn txn;
    txn.put(key, value);
    return Stamp(apply(txn).revision.get());
  }

  /// A machine's record, in its page with those that are there already.
  void put_machine(const MachineRecord& machine) {
    const std::string key = keys::machine_page(machine.zone, machine.host);
    MachinePage page;
    json::Document doc;
    if (const auto entry = get(key); entry && json::parse(doc, entry->value)) decode(doc, page);
    std::erase_if(page.machines, [&](const auto& m) { return m.host == machine.host; });
    page.machines.push_back(machine);
    put(key, encode(page, limits_.value_bytes));
  }

  void end_permit(Permit permit) { ended_.insert(permit); }

  /// The lease on which the key hangs ends, and all its keys go.
  void lapse(const std::string& key) {
    const Permit permit = data_.at(key).permit;
    end_permit(permit);
    Txn txn;
    for (const auto& [path, kept] : data_) {
      if (kept.permit == permit) txn.remove(path);
    }
    apply(txn);
  }

  [[nodiscard]] std::optional<Entry> get(const std::string& key) const {
    const auto it = data_.find(key);
    if (it == data_.end()) return std::nullopt;
    return Entry{key, it->second.value, it->second.stamp};
  }

  /// Answers wait here while `hold` is set.
  void deliver_all() {
    while (!held.empty()) {
      const auto next = std::move(held.front());
      held.pop_front();
      next();
    }
  }

  double slack = 1;
  bool down = false;
  bool hold = false;
  int reads = 0;
  std::size_t page = 1000;          // items in one answer to a range
  int failing_ranges = 0;           // how many of the next are not answered
  std::vector<std::string> ranges;  // that were asked, by what they begin after
  std::deque<Script> scripts;
  std::deque<Txn> late;
  std::deque<std::function<void()>> held;
  std::vector<Txn> commits;

 private:
  struct Kept {
    std::string value;
    Stamp stamp;
    Permit permit;
  };
  struct Watch {
    std::string prefix;
    Revision after;
    std::function<void(WatchResult)> then;
  };

  void deliver(std::function<void()> answer) {
    if (hold) {
      held.push_back(std::move(answer));
    } else {
      answer();
    }
  }

  CommitResult apply(const Txn& txn) {
    CommitResult result;
    for (const auto& [key, stamp] : txn.guards) {
      const auto it = data_.find(key);
      if ((it == data_.end() ? Stamp{} : it->second.stamp) != stamp) result.failed.push_back(key);
    }
    if (!result.failed.empty()) {
      result.fate = Fate::conflict;
      result.revision = Revision(revision_);
      return result;
    }
    for (const Put& put : txn.puts) {
      if (put.permit != Permit{} && ended_.contains(put.permit)) {
        result.fate = Fate::no_permit;
        return result;
      }
    }
    const Stamp stamp(++revision_);
    for (const Put& put : txn.puts) {
      data_[put.key] = {put.value, stamp, put.permit};
      log_.push_back({put.key, put.value, stamp});
    }
    for (const auto& key : txn.deletes) {
      if (data_.erase(key) > 0) log_.push_back({key, std::nullopt, stamp});
    }
    result.fate = Fate::done;
    result.revision = Revision(revision_);
    return result;
  }

  std::map<std::string, Kept> data_;
  std::vector<Change> log_;
  std::uint64_t revision_ = 0;
  std::uint64_t permits_ = 0;
  std::set<Permit> ended_;
  std::vector<Watch> watches_;
  StoreLimits limits_{1e6, 1e6, 8192, 16, 3};  // no pace: tests move time themselves
};

}  // namespace marblevale::testing
