#include "election/election.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>
#include <map>

namespace marblevale {

namespace {

constexpr Duration kMinBackoff{150};
constexpr Duration kMaxBackoff{1500};
constexpr Duration kCampaignRetryDelay{150};  // plus the backoff
constexpr Duration kCandidacyDeferral{500};
constexpr Duration kReadinessPollInterval{100};
/// The delay from a failed renewal to the next one, as a fraction of the TTL. The shard lease is
/// retried sooner, because this controller loses its shards when the lease expires.
constexpr double kSessionRetryFraction = 0.25;
constexpr double kShardRetryFraction = 0.05;
/// A guard on this revision always fails.
constexpr std::uint64_t kImpossibleRevision = std::numeric_limits<std::uint64_t>::max();

}  // namespace

Election::Election(Loop& loop, const Clock& clock, const Settings& settings, Store& store,
                   WatchCache& cache, ProcessIncarnation incarnation)
    : clock_(clock),
      settings_(settings),
      cache_(cache),
      incarnation_(incarnation),
      random_(incarnation.get()),
      backoff_(kMinBackoff, kMaxBackoff),
      session_lease_(loop, store,
                     {settings.tuning.session_lease, kSessionRetryFraction,
                      [this] { return backoff_.next(random_); }},
                     {[this] {
                        backoff_.reset();
                        check_leadership();
                      },
                      // The keys attached to the lease are deleted, so another may lead by now.
                      [this] { transition(State::joining, TransitionReason::session_expired); }}),
      shard_lease_(loop, store,
                   {settings.tuning.shard_lease, kShardRetryFraction,
                    [this] { return backoff_.next(random_); }},
                   {[this] { check_leadership(); }, [] {}}),
      leadership_timer_(loop, [this] { check_leadership(); }),
      deferral_timer_(loop, [this] {
        deferral_over_ = true;
        check_leadership();
      }) {
  cache_.listen([this](RecordKind kind, const std::string&) {
    if (kind == RecordKind::leader || kind == RecordKind::node) {
      leadership_timer_.start(Duration{0});
    }
  });
}

void Election::begin() {
  session_lease_.open();
  shard_lease_.open();
}

const char* Election::name_of(State state) {
  switch (state) {
    case State::joining:
      return "joining";
    case State::follower:
      return "follower";
    case State::candidate:
      return "candidate";
    case State::leader:
      return "leader";
  }
  return "unknown";
}

const char* Election::name_of(TransitionReason reason) {
  switch (reason) {
    case TransitionReason::session_expired:
      return "session_expired";
    case TransitionReason::leader_record_is_own:
      return "leader_record_is_own";
    case TransitionReason::another_leads:
      return "another_leads";
    case TransitionReason::nobody_leads:
      return "nobody_leads";
    case TransitionReason::leadership_vacant:
      return "leadership_vacant";
    case TransitionReason::not_elected:
      return "not_elected";
  }
  return "unknown";
}

void Election::transition(State next, TransitionReason reason) {
  if (next == state_) return;
  spdlog::info("election: state_changed from={} to={} reason={}", name_of(state_), name_of(next),
               name_of(reason));
  state_ = next;
  if (next != State::leader) term_ = ModRevision{};
}

bool Election::is_established_leader() const {
  return state_ == State::leader && cache_.revision().get() >= term_.get();
}

bool Election::leads_with_fresh_records() {
  if (!is_established_leader()) return false;
  const Duration age = clock_.steady() - cache_.fresh_until();
  const bool fresh = age < settings_.tuning.session_lease;
  if (!fresh && !stale_logged_) {
    spdlog::info("election: leader_records_stale age_ms={}", age.count());
  }
  stale_logged_ = !fresh;
  return fresh;
}

void Election::guard(Transaction& txn) const {
  // Without a term the guard must fail. A guard on revision 0, the absence of the key, would hold
  // while there is no leader.
  const bool leads = term_ != ModRevision{};
  txn.guard(keys::kLeader, leads ? term_ : ModRevision(kImpossibleRevision));
}

void Election::register_node() {
  if (registration_in_flight_) return;
  const auto& nodes = cache_.records().nodes;
  const auto own = nodes.find(settings_.node);
  const bool registered = own != nodes.end() && own->second.record.incarnation == incarnation_ &&
                          own->second.record.shard_lease_id == shard_lease_.id();
  if (registered) return;
  registration_in_flight_ = true;
  Transaction txn;
  // The guard on the current record prevents a delayed commit of an earlier incarnation from
  // replacing a newer registration.
  txn.guard(keys::node(settings_.node),
            own == nodes.end() ? ModRevision{} : own->second.mod_revision);
  txn.put(keys::node(settings_.node),
          encode(NodeRecord{settings_.node, incarnation_, shard_lease_.id(), kNewestReadableForm}),
          session_lease_.id());
  cache_.commit(RequestPriority::lease, std::move(txn), [this](const CommitResult& result) {
    registration_in_flight_ = false;
    leadership_timer_.start(result.outcome == Outcome::done ? Duration{0} : backoff_.next(random_));
  });
}

void Election::check_leadership() {
  if (!session_lease_.is_open() || !shard_lease_.is_open() || !cache_.ready()) {
    if (session_lease_.is_open()) leadership_timer_.start(kReadinessPollInterval);
    return;
  }
  register_node();
  const auto& leader = cache_.records().leader;
  if (leader) deferral_over_ = false;
  if (leader && leader->record.node == settings_.node &&
      leader->record.incarnation == incarnation_) {
    term_ = leader->mod_revision;
    transition(State::leader, TransitionReason::leader_record_is_own);
    return;
  }
  if (state_ == State::candidate) return;
  transition(State::follower,
             leader ? TransitionReason::another_leads : TransitionReason::nobody_leads);
  if (leader && leader->record.node == settings_.node) {
    // The leader is an earlier incarnation of this controller, which this one succeeds.
    campaign(leader->mod_revision);
  } else if (!leader) {
    if (defers_candidacy() && !deferral_over_) {
      if (!deferral_timer_.pending()) deferral_timer_.start(kCandidacyDeferral);
      return;
    }
    campaign(ModRevision{});
  }
}

bool Election::defers_candidacy() const {
  // The zone has no other controller that could hold its shard, while another zone has several
  // controllers. Leading and holding a shard together is too much for one controller in a
  // large deployment.
  std::map<ZoneId, int> controllers;
  ++controllers[settings_.zone];
  for (const Peer& peer : settings_.peers) ++controllers[peer.zone];
  return controllers[settings_.zone] == 1 &&
         std::any_of(controllers.begin(), controllers.end(),
                     [](const auto& zone) { return zone.second > 1; });
}

void Election::campaign(ModRevision predecessor) {
  transition(State::candidate, TransitionReason::leadership_vacant);
  Transaction txn;
  txn.guard(keys::kLeader, predecessor);
  txn.put(keys::kLeader, encode(LeaderRecord{settings_.node, incarnation_}), session_lease_.id());
  cache_.commit(RequestPriority::lease, std::move(txn), [this](const CommitResult& result) {
    if (state_ != State::candidate) return;
    if (result.outcome == Outcome::done) {
      check_leadership();
      return;
    }
    transition(State::follower, TransitionReason::not_elected);
    // The cache soon shows which controller won, also when the outcome is unknown.
    leadership_timer_.start(kCampaignRetryDelay + backoff_.next(random_));
  });
}

}  // namespace marblevale
