#include "app/user_router.hpp"

#include <string_view>
#include <utility>

namespace marblevale {

namespace {

constexpr std::string_view kWorkerHeartbeatPath = "/hello";
constexpr std::string_view kReadinessPath = "/up";
constexpr std::string_view kJobsPath = "/api/jobs";
constexpr std::string_view kCancelAction = "abort";
constexpr std::string_view kExplainAction = "why";

/// Returns true if the request has this method. Otherwise answers 405 and returns false.
bool require_method(evhttp_cmd_type method, const HttpRequest& request, Responder& responder) {
  if (request.method == method) return true;
  responder.reply(405, R"({"error":"method not allowed"})");
  return false;
}

void reply_no_such_path(Responder& responder) {
  responder.reply(404, R"({"error":"no such path"})");
}

}  // namespace

std::optional<JobPath> parse_job_path(const std::string& path) {
  if (path.compare(0, kJobsPath.size(), kJobsPath) != 0) return std::nullopt;
  if (path.size() <= kJobsPath.size() + 1 || path[kJobsPath.size()] != '/') return std::nullopt;
  const std::string rest = path.substr(kJobsPath.size() + 1);
  const auto slash = rest.find('/');
  if (slash == std::string::npos) return JobPath{rest, std::nullopt};
  return JobPath{rest.substr(0, slash), rest.substr(slash + 1)};
}

UserRouter::UserRouter(Metrics& metrics, JobApi& job_api, ShardHolder& shard_holder,
                       StartupTimes& startup_times, ReadinessCheck check_readiness)
    : metrics_(metrics),
      job_api_(job_api),
      shard_holder_(shard_holder),
      startup_times_(startup_times),
      check_readiness_(std::move(check_readiness)) {}

void UserRouter::serve(const HttpRequest& request, const ResponderPtr& responder) {
  if (request.path == kWorkerHeartbeatPath) {
    serve_worker_heartbeat(request, *responder);
  } else if (request.path == kReadinessPath) {
    serve_readiness_probe(request, *responder);
  } else if (request.path == kJobsPath) {
    serve_submission(request, responder);
  } else if (const auto job_path = parse_job_path(request.path)) {
    serve_job(*job_path, request, responder);
  } else {
    reply_no_such_path(*responder);
  }
}

void UserRouter::serve_worker_heartbeat(const HttpRequest& request, Responder& responder) {
  if (!require_method(EVHTTP_REQ_POST, request, responder)) return;
  const HeartbeatReply reply = shard_holder_.handle_heartbeat(request.body);
  responder.reply(reply.status, reply.body);
}

void UserRouter::serve_readiness_probe(const HttpRequest& request, Responder& responder) {
  if (!require_method(EVHTTP_REQ_GET, request, responder)) return;
  responder.reply(check_readiness_() ? 200 : 503, "{}");
}

void UserRouter::serve_submission(const HttpRequest& request, const ResponderPtr& responder) {
  const auto timer = metrics_.time(Duty::users);
  if (!require_method(EVHTTP_REQ_POST, request, *responder)) return;
  job_api_.submit(request.body, make_answer_handler(responder));
}

void UserRouter::serve_job(const JobPath& path, const HttpRequest& request,
                           const ResponderPtr& responder) {
  const auto timer = metrics_.time(Duty::users);
  if (!path.action) {
    if (!require_method(EVHTTP_REQ_GET, request, *responder)) return;
    job_api_.status(path.job_id, make_answer_handler(responder));
  } else if (*path.action == kCancelAction) {
    if (!require_method(EVHTTP_REQ_POST, request, *responder)) return;
    job_api_.cancel(path.job_id, make_answer_handler(responder));
  } else if (*path.action == kExplainAction) {
    if (!require_method(EVHTTP_REQ_GET, request, *responder)) return;
    job_api_.explain(path.job_id, make_answer_handler(responder));
  } else {
    reply_no_such_path(*responder);
  }
}

AnswerHandler UserRouter::make_answer_handler(const ResponderPtr& responder) {
  return [this, responder](const UserAnswer& answer) {
    startup_times_.on_user_answered(answer.status);
    const auto retry_after = answer.retry_after.value_or(std::chrono::seconds{0});
    responder->reply(answer.status, answer.body, static_cast<int>(retry_after.count()));
  };
}

}  // namespace marblevale
