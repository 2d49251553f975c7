#include "api/job_lookup.hpp"

#include <utility>

namespace marblevale {

namespace {

constexpr std::size_t kMaxConcurrentReads = 300;

template <typename Record>
std::optional<Record> decode_entry(const Entry& entry) {
  json::Document doc;
  Record record;
  if (!json::parse(doc, entry.value) || !decode(doc, record)) return std::nullopt;
  return record;
}

}  // namespace

JobLookup::JobLookup(const Clock& clock, Store& store, WatchCache& cache,
                     Cancellations& cancellations)
    : store_(store), cache_(cache), cancellations_(cancellations), unanswered_jobs_(clock) {}

bool JobLookup::is_known(const JobId& job_id) const {
  return final_jobs_.find(job_id) != nullptr || cache_.records().jobs.contains(job_id);
}

void JobLookup::publish_cancellation(const LookupResult& result) {
  // An ended job has no tasks left, so the other controllers need not know of its cancellation.
  const auto* job = std::get_if<Versioned<JobRecord>>(&result);
  if (job == nullptr || !job->record.cancelled) return;
  cancellations_.add_confirmed(job->record.spec.job_id, *job->record.cancelled);
}

void JobLookup::look_up(const JobId& job_id, LookupHandler handler) {
  const auto handle_result = [this, job_id,
                              handler = std::move(handler)](const LookupResult& result) {
    publish_cancellation(result);
    if (std::holds_alternative<LookupFailed>(result)) {
      unanswered_jobs_.note_unanswered(job_id);
    } else {
      unanswered_jobs_.note_answered(job_id);
    }
    handler(result);
  };
  if (const FinalRecord* final_job = final_jobs_.find(job_id)) {
    handle_result(*final_job);
  } else if (cache_.records().jobs.contains(job_id)) {
    look_up_unfinished(job_id, handle_result);
  } else {
    read_from_store(job_id, handle_result);
  }
}

void JobLookup::look_up_unfinished(const JobId& job_id, LookupHandler handler) {
  // All waiting requests share the watch and are answered by one progress notification that is
  // newer than they are.
  cache_.when_fresh([this, job_id, handler = std::move(handler)](bool fresh) {
    const auto& jobs = cache_.records().jobs;
    const auto job = jobs.find(job_id);
    if (!fresh) {
      handler(LookupFailed{});
    } else if (job != jobs.end()) {
      handler(job->second);
    } else {
      read_from_store(job_id, handler);  // the job has ended, or its record can't be read
    }
  });
}

void JobLookup::read_from_store(const JobId& job_id, LookupHandler handler) {
  // A request never shares a read that was sent before the request came, because the read's result
  // may be older than the state that another controller has meanwhile reported to the user.
  const auto it = reads_.find(job_id);
  if (it != reads_.end()) {
    it->second.next_handlers.push_back(std::move(handler));
    return;
  }
  if (reads_.size() >= kMaxConcurrentReads) {
    handler(LookupFailed{});
    return;
  }
  reads_[job_id].current_handlers.push_back(std::move(handler));
  read_job_record(job_id);
}

void JobLookup::read_job_record(const JobId& job_id) {
  store_.read(keys::job(job_id), [this, job_id](const ReadResult& reply) {
    if (reply.kind == ReadResult::Kind::failed) {
      complete_read(job_id, LookupFailed{});
      return;
    }
    if (!reply.entry) {
      // One commit replaces the job's record by its final record, and a job never moves back. A job
      // that has neither record was therefore not accepted before the first read.
      read_final_record(job_id);
      return;
    }
    auto record = decode_entry<JobRecord>(*reply.entry);
    if (!record) {
      complete_read(job_id, LookupFailed{});
      return;
    }
    complete_read(job_id, Versioned<JobRecord>{std::move(*record), reply.entry->mod_revision});
  });
}

void JobLookup::read_final_record(const JobId& job_id) {
  store_.read(keys::final_job(job_id), [this, job_id](const ReadResult& reply) {
    if (reply.kind == ReadResult::Kind::failed) {
      complete_read(job_id, LookupFailed{});
      return;
    }
    if (!reply.entry) {
      complete_read(job_id, JobUnknown{});
      return;
    }
    const auto record = decode_entry<FinalRecord>(*reply.entry);
    if (!record) {
      complete_read(job_id, LookupFailed{});
      return;
    }
    final_jobs_.insert(*record);
    complete_read(job_id, *record);
  });
}

void JobLookup::complete_read(const JobId& job_id, const LookupResult& result) {
  const auto it = reads_.find(job_id);
  if (it == reads_.end()) return;
  const auto answered_handlers = std::move(it->second.current_handlers);
  if (it->second.next_handlers.empty()) {
    reads_.erase(it);
  } else {
    it->second.current_handlers = std::move(it->second.next_handlers);
    it->second.next_handlers.clear();
    read_job_record(job_id);
  }
  for (const auto& handler : answered_handlers) handler(result);
}

}  // namespace marblevale
