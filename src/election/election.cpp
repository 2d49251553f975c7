#include "election/election.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace marblevale {

namespace {
constexpr std::array<const char*, 4> kNames{"joining", "follower", "candidate", "leader"};
constexpr Duration kStandJitter{150};
constexpr Duration kDefer{500};
}  // namespace

Election::Election(Loop& loop, const Clock& clock, const Settings& settings, Store& store,
                   WatchCache& cache, ProcessIncarnation incarnation)
    : clock_(clock),
      settings_(settings),
      store_(store),
      cache_(cache),
      incarnation_(incarnation),
      random_(incarnation.get()),
      backoff_(Duration{150}, Duration{1500}),
      session_timer_(loop, [this] { session_ == LeaseId{} ? open_session() : renew_session(); }),
      shard_timer_(
          loop,
          [this] { shard_lease_id_ == LeaseId{} ? open_shard_lease() : renew_shard_lease(); }),
      leadership_timer_(loop, [this] { check_leadership(); }),
      defer_timer_(loop, [this] {
        may_campaign_ = true;
        check_leadership();
      }) {
  cache_.listen([this](RecordKind topic, const std::string&) {
    if (topic == RecordKind::leader || topic == RecordKind::node)
      leadership_timer_.start(Duration{0});
  });
}

void Election::begin() {
  open_session();
  open_shard_lease();
}

void Election::transition(State next, const char* why) {
  if (next == state_) return;
  spdlog::info("election: {} -> {} ({})", kNames.at(static_cast<std::size_t>(state_)),
               kNames.at(static_cast<std::size_t>(next)), why);
  state_ = next;
  if (next != State::leader) term_ = ModRevision{};
}

bool Election::is_established_leader() const {
  return state_ == State::leader && cache_.revision().get() >= term_.get();
}

bool Election::holds_fresh_lease() {
  if (!is_established_leader()) return false;
  const Duration age = clock_.steady() - cache_.fresh_until();
  const bool fresh = age < settings_.tuning.session_lease;
  if (!fresh && !stale_logged_) {
    spdlog::info(
        "election: leads, but the last word of the records is {} ms old: waits for another",
        age.count());
  }
  stale_logged_ = !fresh;
  return fresh;
}

void Election::open_session() {
  store_.create_lease(settings_.tuning.session_lease, [this](const LeaseResult& r) {
    if (r.outcome != Outcome::done) {
      session_timer_.start(backoff_.next(random_));
      return;
    }
    backoff_.reset();
    session_ = r.lease_id;
    session_timer_.start(scaled(settings_.tuning.session_lease, 0.25));
    check_leadership();
  });
}

void Election::renew_session() {
  store_.renew_lease(session_, [this](const LeaseResult& r) {
    if (r.outcome == Outcome::lease_expired) {
      // The keys that hung on it are gone: another may lead by now.
      session_ = LeaseId{};
      transition(State::joining, "the session ended");
      open_session();
      return;
    }
    session_timer_.start(scaled(settings_.tuning.session_lease, 0.25));
  });
}

void Election::open_shard_lease() {
  store_.create_lease(settings_.tuning.shard_lease, [this](const LeaseResult& r) {
    if (r.outcome != Outcome::done) {
      shard_timer_.start(backoff_.next(random_));
      return;
    }
    shard_lease_id_ = r.lease_id;
    shard_timer_.start(scaled(settings_.tuning.shard_lease, 0.25));
    check_leadership();
  });
}

void Election::renew_shard_lease() {
  store_.renew_lease(shard_lease_id_, [this](const LeaseResult& r) {
    if (r.outcome == Outcome::lease_expired) {
      shard_lease_id_ = LeaseId{};
      open_shard_lease();
      return;
    }
    shard_timer_.start(
        scaled(settings_.tuning.shard_lease, (r.outcome == Outcome::done ? 0.25 : 0.05)));
  });
}

void Election::announce() {
  if (announcing_) return;
  const auto& nodes = cache_.records().nodes;
  const auto mine = nodes.find(settings_.node);
  const bool told = mine != nodes.end() && mine->second.record.incarnation == incarnation_ &&
                    mine->second.record.shard_lease_id == shard_lease_id_;
  if (told) return;
  announcing_ = true;
  Transaction txn;
  // Guarded by what is there, so that a late copy from an earlier life can't replace it.
  txn.guard(keys::node(settings_.node),
            mine == nodes.end() ? ModRevision{} : mine->second.mod_revision);
  txn.put(keys::node(settings_.node),
          encode(NodeRecord{settings_.node, incarnation_, shard_lease_id_, kReadsForms}), session_);
  cache_.commit(RequestPriority::lease, std::move(txn), [this](const CommitResult& r) {
    announcing_ = false;
    leadership_timer_.start(r.outcome == Outcome::done ? Duration{0} : backoff_.next(random_));
  });
}

void Election::check_leadership() {
  if (session_ == LeaseId{} || shard_lease_id_ == LeaseId{} || !cache_.ready()) {
    if (session_ != LeaseId{}) leadership_timer_.start(Duration{100});
    return;
  }
  announce();
  const auto& leader = cache_.records().leader;
  if (leader) may_campaign_ = false;
  if (leader && leader->record.node == settings_.node &&
      leader->record.incarnation == incarnation_) {
    term_ = leader->mod_revision;
    transition(State::leader, "the leader record is ours");
    return;
  }
  if (state_ == State::candidate) return;
  transition(State::follower, leader ? "another leads" : "nobody leads");
  if (leader && leader->record.node == settings_.node) {
    campaign(
        leader->mod_revision);  // an earlier life of this controller led; its successor is here
  } else if (!leader) {
    if (needed_at_home() && !may_campaign_) {
      if (!defer_timer_.pending()) defer_timer_.start(kDefer);
      return;
    }
    campaign(ModRevision{});
  }
}

bool Election::needed_at_home() const {
  // Its zone has no other controller to hold the zone's shard, and elsewhere there is one to spare:
  // leading and holding together are too much for one in a large deployment.
  std::map<ZoneId, int> controllers;
  ++controllers[settings_.zone];
  for (const Peer& peer : settings_.peers) ++controllers[peer.zone];
  return controllers[settings_.zone] == 1 &&
         std::any_of(controllers.begin(), controllers.end(),
                     [](const auto& zone) { return zone.second > 1; });
}

void Election::campaign(ModRevision over) {
  transition(State::candidate, "the place is free");
  Transaction txn;
  txn.guard(keys::kLeader, over);
  txn.put(keys::kLeader, encode(LeaderRecord{settings_.node, incarnation_}), session_);
  cache_.commit(RequestPriority::lease, std::move(txn), [this](const CommitResult& r) {
    if (state_ != State::candidate) return;
    if (r.outcome == Outcome::done) {
      check_leadership();
      return;
    }
    transition(State::follower, "not elected");
    // Whoever won shows in the cache soon; an unknown outcome does, too.
    leadership_timer_.start(kStandJitter + backoff_.next(random_));
  });
}

}  // namespace marblevale
