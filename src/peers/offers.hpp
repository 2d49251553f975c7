/// Release offers: the leader sends a release directly to the holder of the shard, which binds the
/// tasks in one commit instead of two (the leader's commit of the release and the holder's of the
/// binding).
///
/// An offer is an optimization only. The holder's commit is a compare-and-swap on the leader's
/// term, the shard's fencing token, and the job and the slice as the leader knew them. It succeeds
/// only while the release is still valid, and at most once. If no answer arrives, the leader
/// commits the release itself; guards on the same revisions keep both commits from succeeding.
///
/// An offer can be delivered twice. After the answer `declined` the leader allocates the capacity
/// to another job, so a later copy must not be bound. An offer therefore names the incarnation of
/// the holder that it is addressed to and carries a sequence number, and a copy gets the same
/// answer as the first delivery.
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
  std::uint64_t term = 0;  // revision of the leader record
  std::string job_id;
  std::uint32_t slice_number = 0;
  std::uint64_t slice_revision = 0;  // of the slice in the leader's cache; 0: no record yet
  std::uint64_t cache_revision = 0;  // of the leader's cache; a lagging holder waits for it
  std::vector<Task> tasks;
  std::uint64_t sequence = 0;            // increasing, unique in a term
  std::uint64_t holder_incarnation = 0;  // of the addressed holder
  std::uint64_t job_revision = 0;        // of the job in the leader's cache

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(term, job_id, slice_number, slice_revision, cache_revision, tasks, sequence,
            holder_incarnation, job_revision);
  }
};

std::string encode(const ReleaseOffer& offer);
/// Returns no value for bytes that are not a valid offer.
std::optional<ReleaseOffer> decode_offer(const std::string& bytes);

/// A holder's answer. `accepted`: the holder tries to bind the tasks, and the records show whether
/// it succeeded. `declined`: the holder has not committed the offer or a copy of it, and never
/// will.
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

/// Delivers offers to peers by HTTP, and to this controller itself by a function call.
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
