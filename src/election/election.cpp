#include "election/election.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace marblevale {

namespace {
constexpr std::array<const char*, 4> kNames{"joining", "follower", "standing", "leading"};
constexpr Span kStandJitter{150};
constexpr Span kDefer{500};
}  // namespace

Election::Election(Loop& loop, const Settings& settings, Store& store, Mirror& mirror, Nonce nonce)
    : settings_(settings),
      store_(store),
      mirror_(mirror),
      nonce_(nonce),
      random_(nonce.get()),
      backoff_(Span{150}, Span{1500}),
      session_timer_(loop, [this] { session_ == Permit{} ? open_session() : touch(); }),
      block_timer_(loop,
                   [this] { block_permit_ == Permit{} ? open_block_lease() : touch_blocks(); }),
      consider_timer_(loop, [this] { consider(); }),
      defer_timer_(loop, [this] {
        may_stand_ = true;
        consider();
      }) {
  mirror_.listen([this](Topic topic, const std::string&) {
    if (topic == Topic::leader || topic == Topic::node) consider_timer_.start({0});
  });
}

void Election::begin() {
  open_session();
  open_block_lease();
}

void Election::transition(State next, const char* why) {
  if (next == state_) return;
  spdlog::info("election: {} -> {} ({})", kNames.at(static_cast<std::size_t>(state_)),
               kNames.at(static_cast<std::size_t>(next)), why);
  state_ = next;
  if (next != State::leading) term_ = Stamp{};
}

bool Election::in_charge() const {
  return state_ == State::leading && mirror_.revision().get() >= term_.get();
}

void Election::open_session() {
  store_.create_permit(settings_.tuning.session_lease, [this](const PermitResult& r) {
    if (r.fate != Fate::done) {
      session_timer_.start(backoff_.next(random_));
      return;
    }
    backoff_.reset();
    session_ = r.permit;
    session_timer_.start(settings_.tuning.session_lease * 0.25);
    consider();
  });
}

void Election::touch() {
  store_.touch_permit(session_, [this](const PermitResult& r) {
    if (r.fate == Fate::no_permit) {
      // The keys that hung on it are gone: another may lead by now.
      session_ = Permit{};
      transition(State::joining, "the session ended");
      open_session();
      return;
    }
    session_timer_.start(settings_.tuning.session_lease * 0.25);
  });
}

void Election::open_block_lease() {
  store_.create_permit(settings_.tuning.block_lease, [this](const PermitResult& r) {
    if (r.fate != Fate::done) {
      block_timer_.start(backoff_.next(random_));
      return;
    }
    block_permit_ = r.permit;
    block_timer_.start(settings_.tuning.block_lease * 0.25);
    consider();
  });
}

void Election::touch_blocks() {
  store_.touch_permit(block_permit_, [this](const PermitResult& r) {
    if (r.fate == Fate::no_permit) {
      block_permit_ = Permit{};
      open_block_lease();
      return;
    }
    block_timer_.start(settings_.tuning.block_lease * (r.fate == Fate::done ? 0.25 : 0.05));
  });
}

void Election::announce() {
  if (announcing_) return;
  const auto& nodes = mirror_.records().nodes;
  const auto mine = nodes.find(settings_.node);
  const bool told = mine != nodes.end() && mine->second.record.nonce == nonce_ &&
                    mine->second.record.block_permit == block_permit_;
  if (told) return;
  announcing_ = true;
  Txn txn;
  // Guarded by what is there, so that a late copy from an earlier life can't replace it.
  txn.guard(keys::node(settings_.node), mine == nodes.end() ? Stamp{} : mine->second.stamp);
  txn.put(keys::node(settings_.node), encode(NodeRecord{settings_.node, nonce_, block_permit_}),
          session_);
  mirror_.commit(Rank::lease, std::move(txn), [this](const CommitResult& r) {
    announcing_ = false;
    consider_timer_.start(r.fate == Fate::done ? Span{0} : backoff_.next(random_));
  });
}

void Election::consider() {
  if (session_ == Permit{} || block_permit_ == Permit{} || !mirror_.ready()) {
    if (session_ != Permit{}) consider_timer_.start({100});
    return;
  }
  announce();
  const auto& leader = mirror_.records().leader;
  if (leader) may_stand_ = false;
  if (leader && leader->record.node == settings_.node && leader->record.nonce == nonce_) {
    term_ = leader->stamp;
    transition(State::leading, "the leader record is ours");
    return;
  }
  if (state_ == State::standing) return;
  transition(State::follower, leader ? "another leads" : "nobody leads");
  if (leader && leader->record.node == settings_.node) {
    stand(leader->stamp);  // an earlier life of this controller led; its successor is here
  } else if (!leader) {
    if (needed_at_home() && !may_stand_) {
      if (!defer_timer_.pending()) defer_timer_.start(kDefer);
      return;
    }
    stand(Stamp{});
  }
}

bool Election::needed_at_home() const {
  // Its zone has no other controller to hold the zone's block, and elsewhere there is one to spare:
  // leading and holding together are too much for one in a large deployment.
  std::map<ZoneId, int> controllers;
  ++controllers[settings_.zone];
  for (const Peer& peer : settings_.peers) ++controllers[peer.zone];
  return controllers[settings_.zone] == 1 &&
         std::any_of(controllers.begin(), controllers.end(),
                     [](const auto& zone) { return zone.second > 1; });
}

void Election::stand(Stamp over) {
  transition(State::standing, "the place is free");
  Txn txn;
  txn.guard(keys::kLeader, over);
  txn.put(keys::kLeader, encode(LeaderRecord{settings_.node, nonce_}), session_);
  mirror_.commit(Rank::lease, std::move(txn), [this](const CommitResult& r) {
    if (state_ != State::standing) return;
    if (r.fate == Fate::done) {
      consider();
      return;
    }
    transition(State::follower, "not elected");
    // Whoever won shows in the mirror soon; an unknown outcome does, too.
    consider_timer_.start(kStandJitter + backoff_.next(random_));
  });
}

}  // namespace marblevale
