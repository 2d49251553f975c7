#include "api/user_answer.hpp"

#include "protocol/json.hpp"

namespace marblevale {

UserAnswer error_answer(int status, const std::string& message,
                        std::optional<std::chrono::seconds> retry_after) {
  json::Writer out;
  out.open().put("error", message).close();
  return {status, out.str(), retry_after};
}

UserAnswer store_unavailable_answer() {
  return error_answer(503, "the state service does not answer", kStoreUnavailableRetryAfter);
}

UserAnswer no_such_job_answer() { return error_answer(404, "no such job"); }

}  // namespace marblevale
