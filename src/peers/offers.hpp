// A release told straight to the shard's holder, which binds it in one commit instead of two: the
// leader's of the release and its own. It only makes things quicker and cheaper: the holder's
// commit is guarded by the leader's term, the shard, the job and the slice as the leader knew it,
// so it passes only while the release is still meant, and once. Where no word comes back the leader
// commits the release itself, which the same revisions keep from passing beside the binding.
//
// A message can come twice. What was declined must stay declined, or the leader, which gives its
// room to another job, would see it bound later: so an offer names the life of the holder that it
// is meant for and bears a serial of its own, and a copy gets the answer of the first.
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
  std::uint32_t slice = 0;
  std::uint64_t over = 0;      // revision of the slice that the leader knew; 0: none
  std::uint64_t revision = 0;  // what the leader's copy had: a holder that lags waits for it
  std::vector<Task> tasks;
  std::uint64_t serial = 0;  // of the leader's process, rising; never used twice in a term
  std::uint64_t holder_incarnation = 0;  // the life of the holder that is meant
  std::uint64_t job_revision = 0;        // revision of the job that the leader knew

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(term, job_id, slice, over, revision, tasks, serial, holder_incarnation, job_revision);
  }
};

std::string encode(const ReleaseOffer& offer);
/// Nothing for what can't be read.
std::optional<ReleaseOffer> decode_offer(const std::string& bytes);

/// What a holder says to an offer. `taken`: it is being tried. `declined`: nothing was committed
/// and nothing will be, not from a copy of the offer either.
enum class OfferOutcome { taken, declined, unknown };

class OfferChannel {
 public:
  virtual ~OfferChannel() = default;
  virtual void offer(const NodeId& holder, const ReleaseOffer& offer,
                     std::function<void(OfferOutcome)> then) = 0;
};

/// By the peers' addresses; to this controller itself by a call.
class Offers : public OfferChannel {
 public:
  using Take = std::function<bool(const ReleaseOffer&)>;
  static constexpr const char* kPath = "/release";

  Offers(Loop& loop, const Settings& settings, Take take);
  void offer(const NodeId& holder, const ReleaseOffer& offer,
             std::function<void(OfferOutcome)> then) override;
  /// A peer's request on `kPath`.
  void serve(const HttpRequest& request, const ResponderPtr& responder) const;

 private:
  NodeId self_;
  Take take_;
  std::map<NodeId, std::unique_ptr<HttpClient>> peers_;
};

}  // namespace marblevale
