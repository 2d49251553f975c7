// One controller's connection to the state service, with simulated faults.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "store/client.hpp"
#include "support/event_queue.hpp"
#include "support/scripted_store.hpp"

namespace marblevale::testing {

/// Delays every answer except those of watches. Depending on `condition`, it also refuses or delays
/// requests or loses their answers. Each controller has its own `FaultyStore` with its own faults,
/// and all of them share one `ScriptedStore`. A commit that is in flight when the `FaultyStore` is
/// destroyed is still executed, but its answer is dropped.
class FaultyStore : public Store {
 public:
  /// `refusing`: all requests fail, and watches are not answered. `losing`: most commits are
  /// answered with `unknown` after 2 s and executed up to 12 s after the request. `out_of_budget`:
  /// commits are refused after 2.5 s in the controller's request queue. Commits with the priority
  /// `lease` are neither lost nor refused for lack of budget.
  enum class Condition { good, refusing, losing, out_of_budget };

  FaultyStore(ScriptedStore& store, EventQueue& events, RandomSource& random)
      : store_(store), events_(events), random_(random) {}

  Condition condition = Condition::good;

  void read(const std::string& key, std::function<void(ReadResult)> then) override {
    if (condition == Condition::refusing) return answer(then, ReadResult{});
    store_.read(key, [this, then](const ReadResult& r) { answer(then, r); });
  }
  void range(const std::string& prefix, const std::string& after,
             std::function<void(std::optional<RangePage>)> then) override {
    if (condition == Condition::refusing) return answer(then, std::optional<RangePage>{});
    store_.range(prefix, after,
                 [this, then](const std::optional<RangePage>& r) { answer(then, r); });
  }
  void commit(RequestPriority priority, Transaction txn,
              std::function<void(CommitResult)> then) override {
    switch (condition) {
      case Condition::refusing:
        return answer(then, CommitResult{Outcome::refused, {}, {}});
      case Condition::out_of_budget:
        // The controller's own request queue drops a commit that has waited too long.
        if (priority == RequestPriority::lease) break;
        return answer(then, CommitResult{Outcome::refused, {}, {}}, Duration{2'500});
      case Condition::losing:
        if (priority == RequestPriority::lease || random_.chance(0.4)) break;
        apply_later(txn, random_.chance(0.3) ? random_.span(2, 20) : random_.span(2'000, 12'000));
        return answer(then, CommitResult{}, Duration{2'000});
      case Condition::good:
        break;
    }
    events_.after(random_.span(2, 20), [this, alive = std::weak_ptr<bool>(alive_), &store = store_,
                                        priority, txn, then] {
      store.commit(priority, txn, [&](const CommitResult& r) {
        if (!alive.expired()) answer(then, r);
      });
    });
  }
  void watch(const std::string& prefix, Revision after, Duration hold,
             std::function<void(WatchResult)> then) override {
    store_.watch(prefix, after, hold,
                 [this, alive = std::weak_ptr<bool>(alive_), prefix, after, hold,
                  then](const WatchResult& r) {
                   if (alive.expired()) return;
                   if (condition == Condition::refusing) return watch(prefix, after, hold, then);
                   then(r);
                 });
  }
  void create_lease(Duration ttl, std::function<void(LeaseResult)> then) override {
    if (condition == Condition::refusing) return answer(then, LeaseResult{});
    store_.create_lease(ttl, [this, then](const LeaseResult& r) { answer(then, r); });
  }
  void renew_lease(LeaseId lease_id, std::function<void(LeaseResult)> then) override {
    if (condition == Condition::refusing) return answer(then, LeaseResult{Outcome::refused, {}});
    store_.renew_lease(lease_id, [this, then](const LeaseResult& r) { answer(then, r); });
  }
  [[nodiscard]] const StoreLimits& limits() const override { return store_.limits(); }
  void lower_limits(LimitsEvidence evidence) override { store_.lower_limits(evidence); }
  [[nodiscard]] double write_slack() override {
    return condition == Condition::out_of_budget ? 0 : 1;
  }

 private:
  template <typename Handler, typename Result>
  void answer(Handler then, Result result, Duration delay = Duration{3}) {
    events_.after(delay, [alive = std::weak_ptr<bool>(alive_), then, result] {
      if (!alive.expired()) then(result);
    });
  }
  void apply_later(const Transaction& txn, Duration delay) {
    events_.after(delay, [&store = store_, txn] {
      store.commit(RequestPriority::binding, txn, [](const CommitResult&) {});
    });
  }

  ScriptedStore& store_;
  EventQueue& events_;
  RandomSource& random_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace marblevale::testing
