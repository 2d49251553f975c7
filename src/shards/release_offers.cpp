#include "shards/release_offers.hpp"

#include <set>
#include <utility>

namespace marblevale {

namespace {
// After it the leader commits the release itself.
constexpr Duration kOfferLifetime{2'500};
constexpr std::size_t kMaxPendingOffers = 200;
}  // namespace

bool ReleaseOffers::accept(const ReleaseOffer& offer) {
  const auto& leader = context_.cache.records().leader;
  if (leader && leader->mod_revision.get() > offer.term) return false;  // its commits fail anyhow
  // An earlier life of this controller may have taken it, and can't be asked.
  if (ProcessIncarnation(offer.holder_incarnation) != shards_.incarnation()) return true;
  if (const auto before = answered_.find(offer.term, offer.serial)) {
    // To decline a copy while the first one is being bound would have the leader give its room
    // away.
    context_.metrics.count("copies of offers");
    return *before == AnsweredOffers::Answer::taken;
  }
  const bool taken = accept_new(offer);
  answered_.remember(offer.term, offer.serial,
                     taken ? AnsweredOffers::Answer::taken : AnsweredOffers::Answer::declined);
  return taken;
}

bool ReleaseOffers::accept_new(const ReleaseOffer& offer) {
  if (!context_.cache.ready()) return false;
  const PendingOffer pending{offer, context_.clock.steady()};
  if (context_.cache.revision().get() >= offer.revision) return bind(pending);
  if (pending_.size() >= kMaxPendingOffers) return false;
  pending_.push_back(pending);
  return true;
}

void ReleaseOffers::retry() {
  const std::vector<PendingOffer> batch = std::exchange(pending_, {});
  const SteadyTime now = context_.clock.steady();
  for (const PendingOffer& pending : batch) {
    if (now - pending.received_at > kOfferLifetime) continue;
    if (context_.cache.revision().get() >= pending.offer.revision) {
      bind(pending);
    } else {
      pending_.push_back(pending);
    }
  }
}

bool ReleaseOffers::matches_records(const ReleaseOffer& offer, const SliceKey& key) const {
  const Records& records = context_.cache.records();
  const auto* stored = records.slice(key.job_id, key.number);
  const ModRevision known = stored == nullptr ? ModRevision{} : stored->mod_revision;
  const auto job = records.jobs.find(key.job_id);
  return records.leader && records.leader->mod_revision.get() == offer.term &&
         job != records.jobs.end() && job->second.mod_revision.get() == offer.job_revision &&
         !context_.cancellations.cancelled_at(key.job_id) && known.get() == offer.over &&
         !commits_.in_flight(key) && !offer.tasks.empty() &&
         key.number < slice_count(job->second.record.spec);
}

SliceRecord ReleaseOffers::slice_before(const SliceKey& key, const JobSpec& job) const {
  const auto* stored = context_.cache.records().slice(key.job_id, key.number);
  if (stored != nullptr) return stored->record;
  SliceRecord slice;
  slice.job_id = key.job_id;
  slice.number = key.number;
  slice.tasks.resize(slice_size(job, key.number));
  return slice;
}

std::optional<SliceRecord> ReleaseOffers::bind_tasks(const ReleaseOffer& offer, const SliceKey& key,
                                                     const JobSpec& job) const {
  SliceRecord slice = slice_before(key, job);
  PromisedRoom promised;
  for (const ReleaseOffer::Task& offered : offer.tasks) {
    const ZoneId zone(offered.zone);
    if (offered.index >= slice.tasks.size() || !shards_.holds(zone)) return std::nullopt;
    TaskRecord& task = slice.tasks[offered.index];
    if (task.state != TaskState::idle) return std::nullopt;
    task.state = TaskState::released;
    task.attempt = Attempt(offered.attempt);
    task.zone = zone;
    task.machine_id = MachineId(offered.machine_id);
    task.since = context_.clock.wall();
    task.running = WallTime{};
    binder_.bind(slice, offered.index, job, promised);
    if (task.state != TaskState::bound) return std::nullopt;
  }
  return slice;
}

Transaction ReleaseOffers::make_transaction(const ReleaseOffer& offer, const SliceKey& key,
                                            const SliceRecord& slice) const {
  const Records& records = context_.cache.records();
  std::set<ZoneId> zones;
  for (const ReleaseOffer::Task& offered : offer.tasks) zones.emplace(offered.zone);
  Transaction txn;
  txn.guard(keys::kLeader, records.leader->mod_revision);
  for (const ZoneId& zone : zones) shards_.guard(txn, zone);
  txn.guard(keys::job(key.job_id), records.jobs.at(key.job_id).mod_revision);
  txn.guard(keys::slice(key.job_id, key.number), ModRevision(offer.over));
  txn.put(keys::slice(key.job_id, key.number), encode(slice, context_.cache.record_size()));
  return txn;
}

bool ReleaseOffers::bind(const PendingOffer& pending) {
  const ReleaseOffer& offer = pending.offer;
  const SliceKey key{JobId(offer.job_id), offer.slice};
  if (!matches_records(offer, key)) return false;
  const JobSpec& job = context_.cache.records().jobs.at(key.job_id).record.spec;
  const std::optional<SliceRecord> slice = bind_tasks(offer, key, job);
  if (!slice) return false;
  commits_.commit(key, make_transaction(offer, key, *slice),
                  [this, pending] { pending_.push_back(pending); });
  return true;
}

}  // namespace marblevale
