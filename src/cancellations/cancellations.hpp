// Which jobs are cancelled, as far as anybody can know it while the state service is out of reach.
//
// A cancellation is confirmed to its user only after its commit, but a holder that lacks the state
// service can't see the commit. Controllers therefore tell one another, in each pulse and at once
// when one is confirmed, which cancellations they know. Being told needs no trust in any order:
// cancelled stays cancelled.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "store/mirror.hpp"

namespace marblevale {

/// What one controller tells of the cancellations that it knows: those of its records, whose tasks
/// may still stand somewhere, and those that it has told users or heard of since.
struct CancellationList {
  struct Item {
    std::string uid;
    std::int64_t at_ms = 0;  // time of day at which its commit was sent: before any confirmation

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(uid, at_ms);
    }
  };
  std::int64_t began_ms = 0;  // time of day: what this life has confirmed since then is listed
  std::int64_t fresh_ms = 0;  // time of day: what anybody committed before then is listed
  bool complete = false;      // false: the list was cut, or not all that was heard could be kept
  std::vector<Item> items;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(began_ms, fresh_ms, complete, items);
  }
};

class Cancellations {
 public:
  static constexpr std::size_t kMostListed = 800;  // of 18 bytes or so, in messages of 32 KiB
  static constexpr std::size_t kMostKept = 4000;

  Cancellations(const Clock& clock, Mirror& mirror);

  /// To be called before any user is told that the job is cancelled.
  void tell(const Uid& uid, Wall at);
  /// A peer's list.
  void hear(const CancellationList& list);

  /// When the job was cancelled, if it is known to be; never later than its first confirmation.
  [[nodiscard]] std::optional<Wall> cancelled_at(const Uid& uid) const;
  [[nodiscard]] CancellationList list();
  /// False while something that peers told could not be kept.
  [[nodiscard]] bool kept_all();

  /// Called for each that is told here for the first time.
  void on_told(std::function<void()> listener) { told_ = std::move(listener); }
  /// Called for each that a peer was the first to tell of.
  void on_heard(std::function<void(const Uid&)> listener) { heard_ = std::move(listener); }

 private:
  struct Kept {
    Wall at;
    Steady since;  // when it came: a copy of the records that is fresher has it
  };
  bool keep(const Uid& uid, Wall at);
  void prune();

  const Clock& clock_;
  Mirror& mirror_;
  Wall began_;
  std::set<Uid> recorded_;                // cancelled and unfinished by the records
  std::set<Uid> announced_;               // of those, the ones that were told here
  std::unordered_map<Uid, Kept> beyond_;  // told or heard, and perhaps not in the records yet
  std::optional<Steady> overflowed_;      // when something could not be kept
  std::function<void()> told_;
  std::function<void(const Uid&)> heard_;
};

/// A peer's list, and when the question was sent that it answers.
struct CancellationWord {
  Steady asked;
  Wall asked_wall;
  CancellationList list;
};

/// Up to when every cancellation that anybody confirmed is known here, though the state service may
/// be out of reach. Pure but for what it remembers.
///
/// What was confirmed before `known` has been seen in the records, here or by a peer that listed
/// it. What was confirmed since can only have been confirmed by the present lives of the peers, if
/// each began before `known`; and each lists all that its life has confirmed. So the answers of all
/// of them, where none is cut, tell everything up to the moment at which the first question was
/// sent.
class Vouching {
 public:
  explicit Vouching(Span clock_error) : clock_error_(clock_error) {}
  /// `words`: one for each peer, none for a peer that has not answered lately. `watched`: time of
  /// day up to which this controller's own records are fresh. Nothing: the peers don't vouch.
  std::optional<Steady> until(Steady now, Wall now_wall, Wall watched,
                              const std::vector<std::optional<CancellationWord>>& words);

 private:
  Span clock_error_;
  Wall known_;
};

}  // namespace marblevale
