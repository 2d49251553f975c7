// What controllers tell one another, once a second, and at once when one of them has confirmed a
// cancellation. It only makes things quicker or keeps a lease alive; no rule depends on a message
// arriving.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cancellations/cancellations.hpp"
#include "config/settings.hpp"
#include "net/http_server.hpp"

namespace marblevale {

/// Rises when the message's form does: one of another form is dropped.
inline constexpr std::uint32_t kPeerHeartbeatFormat = 2;

struct PeerHeartbeat {
  std::uint32_t format = kPeerHeartbeatFormat;
  std::string node;
  std::uint64_t incarnation = 0;
  std::uint64_t serial = 0;   // rises with every heartbeat of this life
  std::uint64_t answers = 0;  // in an answer: the serial of the heartbeat that it answers
  bool state_ok = false;      // the state service answers this node
  std::vector<std::string> misrouted_zones;    // zones whose workers can't reach their holder
  std::vector<std::string> unreachable_zones;  // zones that this node holds and can't reach
  CancellationList cancellations;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(format, node, incarnation, serial, answers, state_ok, misrouted_zones,
            unreachable_zones, cancellations);
  }
};

std::string encode(const PeerHeartbeat& heartbeat);
/// Nothing for what can't be read.
std::optional<PeerHeartbeat> decode_peer_heartbeat(const std::string& bytes);

/// What the other controllers said of the state service within the last seconds.
enum class PeerStateEvidence { no_peers, nothing, no_state, state };

/// Whether users are to come here. A controller that alone lacks the state service sends them
/// elsewhere, and so does one that has no word of its peers either: it is cut off, and the others
/// are probably not. When all lack it, being skipped would only cost time afterwards.
bool takes_users(bool loaded, bool state_answers, PeerStateEvidence peers);

/// Which heartbeats are news: a copy of one may come seconds or minutes later.
class PeerHeartbeatOrder {
 public:
  /// False for one that was heard before, or that was sent before one that was heard.
  bool newer(const PeerHeartbeat& heartbeat);

 private:
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> last_;  // incarnation and serial
};

class PeerHeartbeatExchange {
 public:
  static constexpr const char* kPath = "/pulse";
  using Compose = std::function<PeerHeartbeat()>;
  /// `newer`: false for a late copy, or one that others have overtaken.
  using Received = std::function<void(const PeerHeartbeat&, bool newer)>;

  PeerHeartbeatExchange(Loop& loop, const Clock& clock, const Settings& settings, Compose compose,
                        Received received);
  void begin();
  /// Has the next heartbeats go out at once, or as soon as others have been answered.
  void send_soon();
  /// A peer's request on `kPath`.
  void serve(const HttpRequest& request, const ResponderPtr& responder);

  [[nodiscard]] PeerStateEvidence peer_state_evidence() const;
  /// What each peer has said of cancellations; nothing of one that has not answered lately.
  [[nodiscard]] std::vector<std::optional<PeerCancellationList>> peer_cancellation_lists() const;

 private:
  struct PeerState {
    std::unique_ptr<HttpClient> client;
    bool busy = false;
    bool retry = false;  // there was news while the last request waited for its answer
    std::optional<PeerHeartbeat> last;
    SteadyTime asked;  // when the request that brought `last` was sent
    WallTime asked_wall;
    std::uint64_t serial = 0;  // of the request that waits for its answer
  };
  void tick();
  void answered(const NodeId& name, SteadyTime sent, WallTime sent_wall, const HttpReply& reply);
  void drop(const char* what);

  const Clock& clock_;
  const Settings& settings_;
  Compose compose_;
  Received received_;
  PeerHeartbeatOrder order_;
  std::uint64_t serial_ = 0;
  SteadyTime last_tick_ = kLongAgo;
  bool send_soon_ = false;
  bool dropped_ = false;  // something that could not be read: logged once
  std::map<NodeId, PeerState> peers_;
  Timer timer_;
};

}  // namespace marblevale
