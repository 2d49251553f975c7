#include "app/service.hpp"

#include <spdlog/spdlog.h>

namespace marblevale {

namespace {
constexpr Span kStateSilence{2'500};  // without an answer: what peers are told
constexpr Span kAloneSilence{6'000};  // and when users are sent elsewhere, if a peer has answers
constexpr Span kSummaryEvery{30'000};
constexpr std::string_view kJobs = "/api/jobs";
}  // namespace

Service::Service(Loop& loop, const Clock& clock, const Settings& settings, Nonce nonce)
    : meter_(loop.meter()),
      clock_(clock),
      settings_(settings),
      store_(loop, clock, settings.state, settings.store),
      mirror_(loop, clock, store_, nonce.get()),
      cancellations_(clock, mirror_),
      vouching_(settings.clock_error),
      election_(loop, settings, store_, mirror_, nonce),
      cloud_(loop, clock, settings.cloud, settings.cloud_rps),
      fleet_(loop, clock, settings, mirror_, election_, cloud_),
      granting_(loop, clock, settings, mirror_, election_, fleet_),
      grants_(loop, clock, settings, mirror_, election_),
      order_sender_(loop, order_connections(settings)),
      holder_(loop, clock, settings, mirror_, election_, order_sender_, cancellations_),
      offers_(loop, settings, [this](const ReleaseOffer& offer) { return holder_.take(offer); }),
      admission_(loop, clock, settings, store_, mirror_, cancellations_),
      pulses_(
          loop, clock, settings, [this] { return compose(); },
          [this](const Pulse& pulse, bool newer) { heard(pulse, newer); }),
      peers_(loop, settings.peers_at,
             [this](const HttpRequest& request, const ResponderPtr& responder) {
               if (request.path == Pulses::kPath) {
                 pulses_.serve(request, responder);
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
  cancellations_.on_told([this] { pulses_.hurry(); });
  cancellations_.on_heard([this](const Uid& uid) { holder_.cancelled(uid); });
  mirror_.begin();
  election_.begin();
  fleet_.begin();
  granting_.begin();
  grants_.begin();
  holder_.begin();
  pulses_.begin();
  summary_timer_.start(kSummaryEvery);
  spdlog::info("service: at most {} connections to workers", order_connections(settings_));
}

void Service::summarize() {
  summary_timer_.start(kSummaryEvery);
  const Records& records = mirror_.records();
  spdlog::info(
      "summary: {}; holds {} jobs, {} slices, {} machines; {} of {} connections to workers",
      meter_.summary(), records.jobs.size(), records.slices.size(), records.machines.size(),
      order_sender_.connections(), order_connections(settings_));
}

bool Service::state_answers(Span within) const {
  return mirror_.ready() && clock_.steady() - mirror_.fresh_until() < within;
}

bool Service::healthy() {
  const bool now = takes_users(mirror_.ready(), state_answers(kAloneSilence), pulses_.peers_say());
  if (now != healthy_) spdlog::info("service: {}", now ? "takes users" : "sends users elsewhere");
  healthy_ = now;
  return now;
}

Pulse Service::compose() {
  Pulse pulse;
  pulse.node = settings_.node.get();
  pulse.nonce = election_.nonce().get();
  pulse.state_ok = state_answers(kStateSilence);
  pulse.cancellations = cancellations_.list();
  for (const ZoneId& zone : holder_.complaints()) {
    pulse.complaints.push_back(zone.get());
    grants_.complaint(zone, settings_.node);
  }
  const auto dark = holder_.dark();
  for (const ZoneId& zone : dark) pulse.dark.push_back(zone.get());
  granting_.out_of_reach(settings_.node, dark);
  if (mirror_.ready() && cancellations_.kept_all()) {
    const auto until = vouching_.until(clock_.steady(), clock_.wall(), mirror_.fresh_until_wall(),
                                       pulses_.words());
    if (until) holder_.extend_freshness(*until);
  }
  return pulse;
}

void Service::heard(const Pulse& pulse, bool newer) {
  cancellations_.hear(pulse.cancellations);
  if (!newer) return;
  // A late copy from an earlier life must not move a block.
  if (!mirror_.records().alive(NodeId(pulse.node), Nonce(pulse.nonce))) return;
  std::set<ZoneId> dark;
  for (const auto& zone : pulse.dark) dark.emplace(zone);
  granting_.out_of_reach(NodeId(pulse.node), dark);
  for (const auto& zone : pulse.complaints) grants_.complaint(ZoneId(zone), NodeId(pulse.node));
}

void Service::serve(const HttpRequest& request, ResponderPtr responder) {
  const std::string& path = request.path;
  const bool get = request.method == EVHTTP_REQ_GET;
  const bool post = request.method == EVHTTP_REQ_POST;
  const auto answer = [responder](const UserAnswer& a) {
    responder->reply(a.status, a.body, a.retry_after_s);
  };
  const auto refuse_method = [&] { responder->reply(405, R"({"error":"method not allowed"})"); };
  if (path == "/hello") {
    if (!post) return refuse_method();
    const HelloAnswer hello = holder_.hello(request.body);
    responder->reply(hello.status, hello.body);
  } else if (path == "/up") {
    if (!get) return refuse_method();
    responder->reply(healthy() ? 200 : 503, "{}");
  } else if (path == kJobs) {
    const auto timed = meter_.time(Duty::users);
    if (!post) return refuse_method();
    admission_.submit(request.body, answer);
  } else if (path.compare(0, kJobs.size(), kJobs) == 0 && path.size() > kJobs.size() + 1 &&
             path[kJobs.size()] == '/') {
    const auto timed = meter_.time(Duty::users);
    const std::string rest = path.substr(kJobs.size() + 1);
    const auto slash = rest.find('/');
    const std::string uid = rest.substr(0, slash);
    const std::string verb = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (verb.empty() && slash == std::string::npos) {
      if (!get) return refuse_method();
      admission_.query(uid, answer);
    } else if (verb == "abort") {
      if (!post) return refuse_method();
      admission_.abort(uid, answer);
    } else if (verb == "why") {
      if (!get) return refuse_method();
      admission_.why(uid, answer);
    } else {
      responder->reply(404, R"({"error":"no such path"})");
    }
  } else {
    responder->reply(404, R"({"error":"no such path"})");
  }
}

}  // namespace marblevale
