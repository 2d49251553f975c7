#include "app/service.hpp"

#include <spdlog/spdlog.h>

namespace marblevale {

namespace {

/// After this time without an answer from the state service, the heartbeats to the peers report it
/// as unreachable.
constexpr Duration kStoreOutageReportedAfter{2'500};
/// After this time without an answer from the state service, the readiness probe fails unless the
/// peers report it as unreachable, too, or there are no peers.
constexpr Duration kUnreadyAfterStoreOutage{6'000};
constexpr Duration kSummaryInterval{30'000};

std::uint64_t count_tasks(const Records& records) {
  std::uint64_t tasks = 0;
  for (const auto& [key, slice] : records.slices) tasks += slice.record.tasks.size();
  return tasks;
}

std::uint64_t count_placed_tasks(const Records& records) {
  std::uint64_t tasks = 0;
  for (const auto& [machine_id, placed] : records.placed) tasks += placed.size();
  return tasks;
}

}  // namespace

Service::Service(Loop& loop, const Clock& clock, const Settings& settings,
                 ProcessIncarnation incarnation)
    : metrics_(loop.metrics()),
      clock_(clock),
      settings_(settings),
      store_(loop, clock, settings.state_service_address, settings.store),
      cache_(loop, clock, store_, incarnation.get()),
      startup_times_(clock, settings, cache_, incarnation),
      cancellations_(clock, cache_),
      cancellation_freshness_(settings.clock_error),
      election_(loop, clock, settings, store_, cache_, incarnation),
      cloud_(loop, clock, settings.cloud_address, settings.cloud_rps),
      autoscaler_(loop, clock, settings, cache_, election_, cloud_),
      leader_loop_(loop, clock, settings, cache_, election_, autoscaler_),
      shard_assigner_(loop, clock, settings, cache_, election_),
      order_sender_(loop, max_order_connections(settings)),
      shard_holder_(loop, clock, settings, cache_, election_, order_sender_, cancellations_),
      offers_(loop, settings,
              [this](const ReleaseOffer& offer) { return shard_holder_.answer_offer(offer); }),
      job_api_(loop, clock, settings, store_, cache_, cancellations_),
      peer_heartbeats_(
          loop, clock, settings, [this] { return compose_peer_heartbeat(); },
          [this](const PeerHeartbeat& heartbeat, PeerHeartbeatDelivery delivery) {
            on_peer_heartbeat(heartbeat, delivery);
          }),
      peer_server_(loop, settings.peer_address,
                   [this](const HttpRequest& request, const ResponderPtr& responder) {
                     serve_peer(request, responder);
                   }),
      user_router_(loop.metrics(), job_api_, shard_holder_, startup_times_,
                   [this] { return update_readiness(); }),
      user_server_(loop, settings.user_address,
                   [this](const HttpRequest& request, const ResponderPtr& responder) {
                     user_router_.serve(request, responder);
                   }),
      summary_timer_(loop, [this] { log_summary(); }),
      memory_report_(loop, clock, settings.machine_memory_mb) {}

void Service::track_held_amounts() {
  const Records& records = cache_.records();
  memory_report_.track("jobs", [&records] { return records.jobs.size(); });
  memory_report_.track("slices", [&records] { return records.slices.size(); });
  memory_report_.track("recorded_tasks", [&records] { return count_tasks(records); });
  memory_report_.track("placed_tasks", [&records] { return count_placed_tasks(records); });
  memory_report_.track("open_releases", [this] { return leader_loop_.held().open_releases; });
  memory_report_.track("releasing_tasks", [this] { return leader_loop_.held().releasing_tasks; });
  memory_report_.track("unanswered_steps", [this] { return leader_loop_.held().unanswered_steps; });
  memory_report_.track("reserved_tasks", [this] { return leader_loop_.held().reserved_tasks; });
  memory_report_.track("reported_tasks", [this] { return shard_holder_.reported_tasks(); });
  memory_report_.track("store_requests",
                       [this] { return store_.request_queue().waiting_requests(); });
  memory_report_.track("store_request_bytes",
                       [this] { return store_.request_queue().waiting_bytes(); });
  memory_report_.track("unsent_bytes", [this] { return store_.unsent_bytes(); });
  metrics_.on_checkpoint([this](const char* step) { memory_report_.sample(step); });
}

void Service::begin() {
  leader_loop_.offer_releases_through(offers_);
  autoscaler_.set_overdue_machines(
      [this] { return shard_holder_.machines_past_cancellation_deadline(); });
  cancellations_.on_confirmed([this] { peer_heartbeats_.send_soon(); });
  cancellations_.on_peer_cancellation(
      [this](const JobId& job_id) { shard_holder_.on_job_cancelled(job_id); });
  cache_.begin();
  election_.begin();
  autoscaler_.begin();
  leader_loop_.begin();
  shard_assigner_.begin();
  shard_holder_.begin();
  peer_heartbeats_.begin();
  summary_timer_.start(kSummaryInterval);
  track_held_amounts();
  memory_report_.begin();
  spdlog::info("service: started max_worker_connections={}", max_order_connections(settings_));
}

void Service::serve_peer(const HttpRequest& request, const ResponderPtr& responder) {
  if (request.path == PeerHeartbeatExchange::kPath) {
    peer_heartbeats_.serve(request, responder);
  } else if (request.path == PeerOfferChannel::kPath) {
    offers_.serve(request, responder);
  } else {
    responder->reply(404, "{}");
  }
}

void Service::log_summary() {
  summary_timer_.start(kSummaryInterval);
  const Records& records = cache_.records();
  spdlog::info(
      "summary: {}; records jobs={} slices={} machines={}; worker connections open={} max={}",
      metrics_.summary(), records.jobs.size(), records.slices.size(), records.machines.size(),
      order_sender_.connection_count(), max_order_connections(settings_));
}

bool Service::store_answered_within(Duration duration) const {
  return cache_.ready() && clock_.steady() - cache_.fresh_until() < duration;
}

bool Service::update_readiness() {
  const bool ready =
      should_serve_users(cache_.ready(), store_answered_within(kUnreadyAfterStoreOutage),
                         peer_heartbeats_.peer_store_evidence());
  if (ready != ready_) spdlog::info("service: readiness changed ready={}", ready);
  ready_ = ready;
  return ready;
}

PeerHeartbeat Service::compose_peer_heartbeat() {
  PeerHeartbeat heartbeat;
  heartbeat.node = settings_.node.get();
  heartbeat.incarnation = election_.incarnation().get();
  heartbeat.store_reachable = store_answered_within(kStoreOutageReportedAfter);
  heartbeat.cancellations = cancellations_.list();
  for (const ZoneId& zone : shard_holder_.misrouted_zones()) {
    heartbeat.misrouted_zones.push_back(zone.get());
    shard_assigner_.note_misrouted_heartbeat(zone, settings_.node);
  }
  const auto unreachable_zones = shard_holder_.unreachable_zones();
  for (const ZoneId& zone : unreachable_zones) heartbeat.unreachable_zones.push_back(zone.get());
  leader_loop_.note_unreachable_zones(settings_.node, unreachable_zones);
  extend_record_freshness();
  return heartbeat;
}

void Service::extend_record_freshness() {
  if (!cache_.ready() || !cancellations_.is_complete()) return;
  const auto until =
      cancellation_freshness_.fresh_until(clock_.steady(), clock_.wall(), cache_.fresh_until_wall(),
                                          peer_heartbeats_.peer_cancellation_lists());
  if (until) shard_holder_.extend_cancellation_freshness(*until);
}

void Service::on_peer_heartbeat(const PeerHeartbeat& heartbeat, PeerHeartbeatDelivery delivery) {
  cancellations_.merge_peer_list(heartbeat.cancellations);
  if (delivery != PeerHeartbeatDelivery::latest) return;
  // A late copy of a heartbeat from an earlier incarnation of the peer must not move a shard.
  if (!cache_.records().alive(NodeId(heartbeat.node), ProcessIncarnation(heartbeat.incarnation))) {
    return;
  }
  std::set<ZoneId> unreachable_zones;
  for (const auto& zone : heartbeat.unreachable_zones) unreachable_zones.emplace(zone);
  leader_loop_.note_unreachable_zones(NodeId(heartbeat.node), unreachable_zones);
  for (const auto& zone : heartbeat.misrouted_zones) {
    shard_assigner_.note_misrouted_heartbeat(ZoneId(zone), NodeId(heartbeat.node));
  }
}

}  // namespace marblevale
