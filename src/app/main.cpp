// The command line.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>

#include "api/job_explanation.hpp"
#include "app/service.hpp"

namespace {

using namespace marblevale;

constexpr int kBadSettings = 2;

/// False when LOG_LEVEL names no level.
bool set_up_logging() {
  spdlog::set_default_logger(std::make_shared<spdlog::logger>(
      "marblevale", std::make_shared<spdlog::sinks::stderr_sink_st>()));
  spdlog::set_pattern("%H:%M:%S.%e %l %v");
  const char* level = std::getenv("LOG_LEVEL");
  const std::string name = level == nullptr ? "info" : level;
  if (name == "error") {
    spdlog::set_level(spdlog::level::err);
  } else if (name == "info") {
    spdlog::set_level(spdlog::level::info);
  } else if (name == "debug") {
    spdlog::set_level(spdlog::level::debug);
  } else {
    std::cerr << "LOG_LEVEL: must be error, info or debug, not '" << name << "'\n";
    return false;
  }
  return true;
}

int run(const Settings& settings) {
  std::signal(SIGPIPE, SIG_IGN);
  std::random_device device;
  const ProcessIncarnation incarnation((static_cast<std::uint64_t>(device()) << 32 | device()) >>
                                       1);
  Loop loop;
  const SystemClock clock;
  Service service(loop, clock, settings, incarnation);
  spdlog::info("marblevale {}: {} in {}, users at {}:{}", MARBLEVALE_VERSION, settings.node.get(),
               settings.zone.get(), settings.users.host, settings.users.port);
  service.begin();
  loop.run();
  return 0;
}

int ask_why(const std::string& job_id, const std::string& at) {
  Loop loop;
  HttpClient client(loop, parse_address(at, "--at"), 1, 1);
  int status = 1;
  client.send(
      {EVHTTP_REQ_GET, "/api/jobs/" + job_id + "/why", {}, "application/json", Duration{5000}},
      [&](const HttpReply& reply) {
        if (reply.status == 200) {
          std::cout << format_explanation(reply.body);
          status = 0;
        } else if (reply.status == 404) {
          std::cerr << "no job " << job_id << "\n";
        } else if (reply.status == 0) {
          std::cerr << "no answer from " << at << "\n";
        } else {
          std::cerr << at << " can't tell now (" << reply.status << "); ask again\n";
        }
        event_base_loopbreak(loop.base());
      });
  loop.run();
  return status;
}

}  // namespace

// Not split yet, issue 17.
// NOLINTNEXTLINE(readability-function-size)
int main(int argc, char** argv) {
  CLI::App app{"marblevale: a cluster scheduler that grants every job a start"};
  app.set_version_flag("--version", std::string("marblevale ") + MARBLEVALE_VERSION);
  std::string config;
  bool check = false;
  Tuning tuning;
  std::int64_t round_budget_ms = tuning.round_budget.count();
  std::int64_t shard_lease_ms = tuning.shard_lease.count();
  std::int64_t session_lease_ms = tuning.session_lease.count();
  std::int64_t idle_return_ms = tuning.idle_return.count();
  app.add_option("--config", config, "settings file (TOML)")->envname("MARBLEVALE_CONFIG");
  app.add_flag("--check", check, "check the settings and exit");
  app.add_option("--round-budget-ms", round_budget_ms, "time of one round of decisions")
      ->envname("MARBLEVALE_ROUND_BUDGET_MS")
      ->check(CLI::Range(1, 10'000));
  app.add_option("--block-lease-ms", shard_lease_ms, "lease of machine blocks")
      ->envname("MARBLEVALE_BLOCK_LEASE_MS")
      ->check(CLI::Range(1'000, 600'000));
  app.add_option("--session-lease-ms", session_lease_ms, "lease of liveness and leadership")
      ->envname("MARBLEVALE_SESSION_LEASE_MS")
      ->check(CLI::Range(1'000, 600'000));
  app.add_option("--idle-return-ms", idle_return_ms, "idle time after which a machine goes back")
      ->envname("MARBLEVALE_IDLE_RETURN_MS")
      ->check(CLI::Range(1'000, 86'400'000));
  app.add_option("--max-open-jobs", tuning.max_open_jobs, "unfinished jobs that are admitted")
      ->envname("MARBLEVALE_MAX_OPEN_JOBS")
      ->check(CLI::Range(1, 1'000'000));
  std::string job_id;
  std::string at = "127.0.0.1:8080";
  auto* why = app.add_subcommand("why", "tell why a job waits, waited or was moved");
  why->add_option("id", job_id, "the job")->required();
  why->add_option("--at", at, "a controller's users' address")->envname("MARBLEVALE_AT");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kBadSettings;
  }
  tuning.round_budget = Duration{round_budget_ms};
  tuning.shard_lease = Duration{shard_lease_ms};
  tuning.session_lease = Duration{session_lease_ms};
  tuning.idle_return = Duration{idle_return_ms};

  try {
    if (!set_up_logging()) return kBadSettings;
    if (why->parsed()) return ask_why(job_id, at);
    if (config.empty()) throw SettingsError("--config: missing");
    Settings settings = load_settings(config);
    settings.tuning = tuning;
    if (check) {
      std::cout << "settings are valid\n";
      return 0;
    }
    return run(settings);
  } catch (const SettingsError& e) {
    std::cerr << "marblevale: " << e.what() << "\n";
    return kBadSettings;
  } catch (const std::exception& e) {
    std::cerr << "marblevale: " << e.what() << "\n";
    return 1;
  }
}
