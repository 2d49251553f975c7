#include "shards/release_offer_handler.hpp"

#include <set>
#include <utility>

namespace marblevale {

namespace {
constexpr Duration kOfferLifetime{2'500};  // after this time the leader commits the release itself
constexpr std::size_t kMaxPendingOffers = 200;
}  // namespace

OfferAnswer ReleaseOfferHandler::answer(const ReleaseOffer& offer) {
  const auto& leader = context_.cache.records().leader;
  // There is a newer leader term, so the commit would fail by its guard on the leader's record.
  if (leader && leader->mod_revision.get() > offer.term) return OfferAnswer::declined;
  // An earlier incarnation of this controller may have accepted the offer.
  if (ProcessIncarnation(offer.holder_incarnation) != shards_.incarnation()) {
    return OfferAnswer::accepted;
  }
  if (const auto first_answer = answered_offers_.find(offer.term, offer.sequence)) {
    // If a duplicate were declined while the first delivery is being bound, the leader would
    // allocate the capacity to another job.
    context_.metrics.count("copies of offers");
    return *first_answer;
  }
  const OfferAnswer answer = answer_new(offer);
  answered_offers_.remember(offer.term, offer.sequence, answer);
  return answer;
}

OfferAnswer ReleaseOfferHandler::answer_new(const ReleaseOffer& offer) {
  if (!context_.cache.ready()) return OfferAnswer::declined;
  const PendingOffer pending{offer, context_.clock.steady()};
  if (context_.cache.revision().get() >= offer.cache_revision) {
    return bind(pending) ? OfferAnswer::accepted : OfferAnswer::declined;
  }
  if (pending_.size() >= kMaxPendingOffers) return OfferAnswer::declined;
  pending_.push_back(pending);
  return OfferAnswer::accepted;
}

void ReleaseOfferHandler::retry_pending() {
  const std::vector<PendingOffer> batch = std::exchange(pending_, {});
  const SteadyTime now = context_.clock.steady();
  for (const PendingOffer& pending : batch) {
    if (now - pending.received_at > kOfferLifetime) continue;
    if (context_.cache.revision().get() >= pending.offer.cache_revision) {
      bind(pending);
    } else {
      pending_.push_back(pending);
    }
  }
}

bool ReleaseOfferHandler::matches_records(const ReleaseOffer& offer, const SliceKey& key) const {
  const Records& records = context_.cache.records();
  const auto* stored = records.slice(key.job_id, key.number);
  const ModRevision cached_revision = stored == nullptr ? ModRevision{} : stored->mod_revision;
  const auto job = records.jobs.find(key.job_id);
  return records.leader && records.leader->mod_revision.get() == offer.term &&
         job != records.jobs.end() && job->second.mod_revision.get() == offer.job_revision &&
         !context_.cancellations.cancelled_at(key.job_id) &&
         cached_revision.get() == offer.slice_revision && !commits_.in_flight(key) &&
         !offer.tasks.empty() && key.number < slice_count(job->second.record.spec);
}

SliceRecord ReleaseOfferHandler::current_slice(const SliceKey& key, const JobSpec& job) const {
  const auto* stored = context_.cache.records().slice(key.job_id, key.number);
  if (stored != nullptr) return stored->record;
  SliceRecord slice;
  slice.job_id = key.job_id;
  slice.number = key.number;
  slice.tasks.resize(slice_size(job, key.number));
  return slice;
}

std::optional<SliceRecord> ReleaseOfferHandler::bind_tasks(const ReleaseOffer& offer,
                                                           const SliceKey& key,
                                                           const JobSpec& job) const {
  SliceRecord slice = current_slice(key, job);
  UncommittedAllocations uncommitted;
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
    task.running_since = WallTime{};
    binder_.bind(slice, offered.index, job, uncommitted);
    if (task.state != TaskState::bound) return std::nullopt;
  }
  return slice;
}

Transaction ReleaseOfferHandler::make_transaction(const ReleaseOffer& offer, const SliceKey& key,
                                                  const SliceRecord& slice) const {
  const Records& records = context_.cache.records();
  std::set<ZoneId> zones;
  for (const ReleaseOffer::Task& offered : offer.tasks) zones.emplace(offered.zone);
  Transaction txn;
  txn.guard(keys::kLeader, records.leader->mod_revision);
  for (const ZoneId& zone : zones) shards_.fence(txn, zone);
  txn.guard(keys::job(key.job_id), records.jobs.at(key.job_id).mod_revision);
  txn.guard(keys::slice(key.job_id, key.number), ModRevision(offer.slice_revision));
  txn.put(keys::slice(key.job_id, key.number), encode(slice, context_.cache.record_size()));
  return txn;
}

bool ReleaseOfferHandler::bind(const PendingOffer& pending) {
  const ReleaseOffer& offer = pending.offer;
  const SliceKey key{JobId(offer.job_id), offer.slice_number};
  if (!matches_records(offer, key)) return false;
  const JobSpec& job = context_.cache.records().jobs.at(key.job_id).record.spec;
  const std::optional<SliceRecord> slice = bind_tasks(offer, key, job);
  if (!slice) return false;
  commits_.commit(key, make_transaction(offer, key, *slice),
                  [this, pending] { pending_.push_back(pending); });
  return true;
}

}  // namespace marblevale
