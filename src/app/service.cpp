#include "app/service.hpp"

#include <spdlog/spdlog.h>

namespace marblevale {

namespace {
constexpr Duration kStateSilence{2'500};  // without an answer: what peers are told
constexpr Duration kAloneSilence{
    6'000};  // and when users are sent elsewhere, if a peer has answers
constexpr Duration kSummaryEvery{30'000};
constexpr std::string_view kJobs = "/api/jobs";
}  // namespace

Service::Service(Loop& loop, const Clock& clock, const Settings& settings, Nonce nonce)
    : metrics_(loop.metrics()),
      clock_(clock),
      settings_(settings),
      store_(loop, clock, settings.state, settings.store),
      cache_(loop, clock, store_, nonce.get()),
      startup_times_(clock, settings, cache_, nonce),
      cancellations_(clock, cache_),
      vouching_(settings.clock_error),
      election_(loop, clock, settings, store_, cache_, nonce),
      cloud_(loop, clock, settings.cloud, settings.cloud_rps),
      fleet_(loop, clock, settings, cache_, election_, cloud_),
      granting_(loop, clock, settings, cache_, election_, fleet_),
      grants_(loop, clock, settings, cache_, election_),
      order_sender_(loop, order_connections(settings)),
      holder_(loop, clock, settings, cache_, election_, order_sender_, cancellations_),
      offers_(loop, settings,
              [this](const ReleaseOffer& offer) { return holder_.accept_offer(offer); }),
      admission_(loop, clock, settings, store_, cache_, cancellations_),
      heartbeats_(
          loop, clock, settings, [this] { return compose(); },
          [this](const Heartbeat& heartbeat, bool newer) { heard(heartbeat, newer); }),
      peers_(loop, settings.peers_at,
             [this](const HttpRequest& request, const ResponderPtr& responder) {
               if (request.path == HeartbeatExchange::kPath) {
                 heartbeats_.serve(request, responder);
               } else if (request.path == Offers::kPath) {
                 offers_.serve(request, responder);
               } else {
                 responder->reply(404, "{}");
               }
             }),
      users_(loop, settings.users,
             [this](const HttpRequest& request, ResponderPtr responder) {
               serve(request, std::move(responder));
             }),
      summary_timer_(loop, [this] { summarize(); }) {}

void Service::begin() {
  granting_.release_through(offers_);
  fleet_.delete_overdue([this] { return holder_.overdue(); });
  cancellations_.on_told([this] { heartbeats_.hurry(); });
  cancellations_.on_heard([this](const JobId& job_id) { holder_.cancelled(job_id); });
  cache_.begin();
  election_.begin();
  fleet_.begin();
  granting_.begin();
  grants_.begin();
  holder_.begin();
  heartbeats_.begin();
  summary_timer_.start(kSummaryEvery);
  spdlog::info("service: at most {} connections to workers", order_connections(settings_));
}

void Service::summarize() {
  summary_timer_.start(kSummaryEvery);
  const Records& records = cache_.records();
  spdlog::info(
      "summary: {}; holds {} jobs, {} slices, {} machines; {} of {} connections to workers",
      metrics_.summary(), records.jobs.size(), records.slices.size(), records.machines.size(),
      order_sender_.connections(), order_connections(settings_));
}

bool Service::state_answers(Duration within) const {
  return cache_.ready() && clock_.steady() - cache_.fresh_until() < within;
}

bool Service::healthy() {
  const bool now =
      takes_users(cache_.ready(), state_answers(kAloneSilence), heartbeats_.peers_say());
  if (now != healthy_) spdlog::info("service: {}", now ? "takes users" : "sends users elsewhere");
  healthy_ = now;
  return now;
}

Heartbeat Service::compose() {
  Heartbeat heartbeat;
  heartbeat.node = settings_.node.get();
  heartbeat.nonce = election_.nonce().get();
  heartbeat.state_ok = state_answers(kStateSilence);
  heartbeat.cancellations = cancellations_.list();
  for (const ZoneId& zone : holder_.misdirected_zones()) {
    heartbeat.misdirected_zones.push_back(zone.get());
    grants_.misdirection(zone, settings_.node);
  }
  const auto unreachable_zones = holder_.unreachable_zones();
  for (const ZoneId& zone : unreachable_zones) heartbeat.unreachable_zones.push_back(zone.get());
  granting_.out_of_reach(settings_.node, unreachable_zones);
  if (cache_.ready() && cancellations_.kept_all()) {
    const auto until = vouching_.until(clock_.steady(), clock_.wall(), cache_.fresh_until_wall(),
                                       heartbeats_.words());
    if (until) holder_.extend_freshness(*until);
  }
  return heartbeat;
}

void Service::heard(const Heartbeat& heartbeat, bool newer) {
  cancellations_.hear(heartbeat.cancellations);
  if (!newer) return;
  // A late copy from an earlier life must not move a block.
  if (!cache_.records().alive(NodeId(heartbeat.node), Nonce(heartbeat.nonce))) return;
  std::set<ZoneId> unreachable_zones;
  for (const auto& zone : heartbeat.unreachable_zones) unreachable_zones.emplace(zone);
  granting_.out_of_reach(NodeId(heartbeat.node), unreachable_zones);
  for (const auto& zone : heartbeat.misdirected_zones)
    grants_.misdirection(ZoneId(zone), NodeId(heartbeat.node));
}

// One branch for each path of the users' interface.
// NOLINTNEXTLINE(readability-function-cognitive-complexity)
void Service::serve(const HttpRequest& request, ResponderPtr responder) {
  const std::string& path = request.path;
  const bool get = request.method == EVHTTP_REQ_GET;
  const bool post = request.method == EVHTTP_REQ_POST;
  const auto answer = [this, responder](const UserAnswer& a) {
    startup_times_.user_answered(a.status);
    responder->reply(a.status, a.body, a.retry_after_s);
  };
  const auto refuse_method = [&] { responder->reply(405, R"({"error":"method not allowed"})"); };
  if (path == "/hello") {
    if (!post) return refuse_method();
    const ReportAnswer handle_report = holder_.handle_report(request.body);
    responder->reply(handle_report.status, handle_report.body);
  } else if (path == "/up") {
    if (!get) return refuse_method();
    responder->reply(healthy() ? 200 : 503, "{}");
  } else if (path == kJobs) {
    const auto timed = metrics_.time(Duty::users);
    if (!post) return refuse_method();
    admission_.submit(request.body, answer);
  } else if (path.compare(0, kJobs.size(), kJobs) == 0 && path.size() > kJobs.size() + 1 &&
             path[kJobs.size()] == '/') {
    const auto timed = metrics_.time(Duty::users);
    const std::string rest = path.substr(kJobs.size() + 1);
    const auto slash = rest.find('/');
    const std::string job_id = rest.substr(0, slash);
    const std::string verb = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (verb.empty() && slash == std::string::npos) {
      if (!get) return refuse_method();
      admission_.query(job_id, answer);
    } else if (verb == "abort") {
      if (!post) return refuse_method();
      admission_.abort(job_id, answer);
    } else if (verb == "why") {
      if (!get) return refuse_method();
      admission_.why(job_id, answer);
    } else {
      responder->reply(404, R"({"error":"no such path"})");
    }
  } else {
    responder->reply(404, R"({"error":"no such path"})");
  }
}

}  // namespace marblevale
