// Which jobs are cancelled, as far as anybody can know it while the state service is out of reach.
//
// A cancellation is confirmed to its user only after its commit, but a holder that lacks the state
// service can't see the commit. Controllers therefore tell one another, in each heartbeat and at
// once when one is confirmed, which cancellations they know. Being told needs no trust in any
// order: cancelled stays cancelled.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "store/watch_cache.hpp"

namespace marblevale {

/// What one controller tells of the cancellations that it knows: those of its records, whose tasks
/// may still stand somewhere, and those that it has told users or heard of since.
struct CancellationList {
  struct Item {
    std::string job_id;
    std::int64_t at_ms = 0;  // time of day at which its commit was sent: before any confirmation

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(job_id, at_ms);
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
  static constexpr std::size_t kMaxListed = 800;  // of 18 bytes or so, in messages of 32 KiB
  static constexpr std::size_t kMaxKept = 4000;

  Cancellations(const Clock& clock, WatchCache& cache);

  /// To be called before any user is told that the job is cancelled.
  void tell(const JobId& job_id, WallTime at);
  /// A peer's list.
  void hear(const CancellationList& list);

  /// When the job was cancelled, if it is known to be; never later than its first confirmation.
  [[nodiscard]] std::optional<WallTime> cancelled_at(const JobId& job_id) const;
  [[nodiscard]] CancellationList list();
  /// False while something that peers told could not be kept.
  [[nodiscard]] bool kept_all();

  /// Called for each that is told here for the first time.
  void on_confirmed(std::function<void()> listener) { confirmed_listener_ = std::move(listener); }
  /// Called for each that a peer was the first to tell of.
  void on_peer_cancellation(std::function<void(const JobId&)> listener) {
    peer_cancellation_listener_ = std::move(listener);
  }

 private:
  struct Kept {
    WallTime at;
    SteadyTime since;  // when it came: a copy of the records that is fresher has it
  };
  bool keep(const JobId& job_id, WallTime at);
  void prune();

  const Clock& clock_;
  WatchCache& cache_;
  WallTime began_;
  std::set<JobId> recorded_;                // cancelled and unfinished by the records
  std::set<JobId> announced_;               // of those, the ones that were told here
  std::unordered_map<JobId, Kept> beyond_;  // told or heard, and perhaps not in the records yet
  std::optional<SteadyTime> overflowed_;    // when something could not be kept
  std::function<void()> confirmed_listener_;
  std::function<void(const JobId&)> peer_cancellation_listener_;
};

/// A peer's list, and when the question was sent that it answers.
struct PeerCancellationList {
  SteadyTime asked;
  WallTime asked_wall;
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
  explicit Vouching(Duration clock_error) : clock_error_(clock_error) {}
  /// `words`: one for each peer, none for a peer that has not answered lately. `watched`: time of
  /// day up to which this controller's own records are fresh. Nothing: the peers don't vouch.
  std::optional<SteadyTime> until(SteadyTime now, WallTime now_wall, WallTime watched,
                                  const std::vector<std::optional<PeerCancellationList>>& words);

 private:
  Duration clock_error_{};
  WallTime known_;
};

}  // namespace marblevale
