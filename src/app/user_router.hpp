// Routes each request on the user address to the component that serves its path.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "api/job_api.hpp"
#include "app/startup_times.hpp"
#include "core/metrics.hpp"
#include "net/http_server.hpp"
#include "shards/shard_holder.hpp"

namespace marblevale {

/// A path below `/api/jobs/`: the job and the action that is requested for it.
struct JobPath {
  std::string job_id;
  std::optional<std::string> action;  // absent: the path names the job itself
};

/// Returns nothing for a path that names no job.
[[nodiscard]] std::optional<JobPath> parse_job_path(const std::string& path);

/// Routes users' requests about jobs, workers' heartbeats, and the readiness probe. Other paths are
/// answered with 404.
class UserRouter {
 public:
  using ReadinessCheck = std::function<bool()>;

  UserRouter(Metrics& metrics, JobApi& job_api, ShardHolder& shard_holder,
             StartupTimes& startup_times, ReadinessCheck check_readiness);

  void serve(const HttpRequest& request, const ResponderPtr& responder);

 private:
  void serve_worker_heartbeat(const HttpRequest& request, Responder& responder);
  void serve_readiness_probe(const HttpRequest& request, Responder& responder);
  void serve_submission(const HttpRequest& request, const ResponderPtr& responder);
  void serve_job(const JobPath& path, const HttpRequest& request, const ResponderPtr& responder);
  [[nodiscard]] AnswerHandler make_answer_handler(const ResponderPtr& responder);

  Metrics& metrics_;
  JobApi& job_api_;
  ShardHolder& shard_holder_;
  StartupTimes& startup_times_;
  ReadinessCheck check_readiness_;
};

}  // namespace marblevale
