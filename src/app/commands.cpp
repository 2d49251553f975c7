#include "app/commands.hpp"

#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdint>
#include <iostream>
#include <random>

#include "api/job_explanation.hpp"
#include "app/service.hpp"
#include "net/http_client.hpp"

namespace marblevale {

namespace {

constexpr Duration kExplanationDeadline{5'000};

Settings load_required_settings(const std::string& path) {
  if (path.empty()) throw SettingsError("--config", "missing");
  return load_settings(path);
}

/// Draws a random value, so that no two processes of a controller share an incarnation. The value
/// fits into a signed 64-bit integer.
ProcessIncarnation draw_incarnation() {
  std::random_device device;
  return ProcessIncarnation((static_cast<std::uint64_t>(device()) << 32 | device()) >> 1);
}

/// Prints the explanation, or the reason why there is none. Returns the process's exit code.
int print_explanation(const ExplainJobCommand& command, const HttpReply& reply) {
  if (reply.status == 200) {
    std::cout << format_explanation(reply.body);
    return 0;
  }
  if (reply.status == 404) {
    std::cerr << "no job " << command.job_id << "\n";
  } else if (!reply.answered()) {
    std::cerr << "no answer from " << command.controller_address << "\n";
  } else {
    std::cerr << command.controller_address << " can't tell now (" << reply.status
              << "); ask again\n";
  }
  return 1;
}

}  // namespace

int serve(const ServeCommand& command, const std::string& version) {
  Settings settings = load_required_settings(command.settings_path);
  settings.tuning = command.tuning;
  // SIGPIPE is ignored because a peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);  // NOLINT(performance-no-int-to-ptr): a macro of the system
  const ProcessIncarnation incarnation = draw_incarnation();
  Loop loop;
  const SystemClock clock;
  Service service(loop, clock, settings, incarnation);
  spdlog::info("service: starting version={} node={} zone={} users_at={}:{}", version,
               settings.node.get(), settings.zone.get(), settings.user_address.host,
               settings.user_address.port);
  service.begin();
  loop.run();
  return 0;
}

int check_settings(const CheckSettingsCommand& command) {
  load_required_settings(command.settings_path);
  std::cout << "settings are valid\n";
  return 0;
}

int explain_job(const ExplainJobCommand& command) {
  Loop loop;
  HttpClient client(loop, parse_address(command.controller_address, "--at"), 1, 1);
  int exit_code = 1;
  client.send({EVHTTP_REQ_GET,
               "/api/jobs/" + command.job_id + "/why",
               {},
               "application/json",
               kExplanationDeadline},
              [&](const HttpReply& reply) {
                exit_code = print_explanation(command, reply);
                event_base_loopbreak(loop.base());
              });
  loop.run();
  return exit_code;
}

}  // namespace marblevale
