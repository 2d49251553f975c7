/// Release offers: the leader sends a release directly to the holder of the shard, which binds the
/// tasks in one commit instead of two (the leader's commit of the release and the holder's of the
/// binding).
///
/// An offer is an optimization only. The holder's commit is a compare-and-swap on the leader's
/// term, the shard's fencing token, the job and the slice as the leader knew it: it succeeds only
/// while the release is still valid, and once. Without an answer the leader commits the release
/// itself; the same revisions keep both commits from succeeding.
///
/// A message can be delivered twice. After an answer "declined" the leader allocates the capacity
/// to another job, so a later copy must not be bound: an offer names the incarnation of the holder
/// that it is addressed to and carries a sequence number, and a copy gets the answer that the first
/// delivery got.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "net/http_server.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Serialized by position: neither the order nor the types of the members may change.
struct ReleaseOffer {
  struct Task {
    std::uint32_t index = 0;  // in the slice
    std::uint64_t attempt = 0;
    std::string zone;
    std::string machine_id;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(index, attempt, zone, machine_id);
    }
  };
  std::uint64_t term = 0;  // revision of the leader's record
  std::string job_id;
  std::uint32_t slice_number = 0;
  std::uint64_t slice_revision = 0;  // of the slice that the leader knew; 0: no record yet
  std::uint64_t cache_revision = 0;  // of the leader's cache: a holder that lags waits for it
  std::vector<Task> tasks;
  std::uint64_t sequence = 0;            // increases; never used twice in a term
  std::uint64_t holder_incarnation = 0;  // of the holder that is addressed
  std::uint64_t job_revision = 0;        // of the job that the leader knew

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(term, job_id, slice_number, slice_revision, cache_revision, tasks, sequence,
            holder_incarnation, job_revision);
  }
};

std::string encode(const ReleaseOffer& offer);
/// Returns nothing for bytes that are no valid offer.
std::optional<ReleaseOffer> decode_offer(const std::string& bytes);

/// A holder's answer. `accepted`: the holder tries to bind the tasks; whether it did shows in the
/// records. `declined`: nothing was committed and nothing will be, not for a copy either.
enum class OfferAnswer { accepted, declined };

/// The leader's view of an offer: the answer, or `unknown` when none arrived.
enum class OfferOutcome { accepted, declined, unknown };

/// Interface between the leader and the transport of offers.
class OfferChannel {
 public:
  virtual ~OfferChannel() = default;
  virtual void offer(const NodeId& holder, const ReleaseOffer& offer,
                     std::function<void(OfferOutcome)> then) = 0;
};

/// Delivers offers by HTTP to the peers, and by a call to this controller itself.
class PeerOfferChannel : public OfferChannel {
 public:
  using AnswerOffer = std::function<OfferAnswer(const ReleaseOffer&)>;
  static constexpr const char* kPath = "/release";

  PeerOfferChannel(Loop& loop, const Settings& settings, AnswerOffer answer_offer);
  void offer(const NodeId& holder, const ReleaseOffer& offer,
             std::function<void(OfferOutcome)> then) override;
  /// Handles a peer's request on `kPath`.
  void serve(const HttpRequest& request, const ResponderPtr& responder) const;

 private:
  NodeId self_;
  AnswerOffer answer_offer_;
  std::map<NodeId, std::unique_ptr<HttpClient>> peers_;
};

}  // namespace marblevale
