#include "app/logging.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <string>

namespace marblevale {

namespace {

std::optional<spdlog::level::level_enum> parse_level(const std::string& name) {
  if (name == "error") return spdlog::level::err;
  if (name == "info") return spdlog::level::info;
  if (name == "debug") return spdlog::level::debug;
  return std::nullopt;
}

}  // namespace

bool set_up_logging() {
  spdlog::set_default_logger(std::make_shared<spdlog::logger>(
      "marblevale", std::make_shared<spdlog::sinks::stderr_sink_st>()));
  spdlog::set_pattern("%H:%M:%S.%e %l %v");
  // The variable is read once, before a second thread exists.
  const char* variable = std::getenv("LOG_LEVEL");  // NOLINT(concurrency-mt-unsafe)
  const std::string name = variable == nullptr ? "info" : variable;
  const auto level = parse_level(name);
  if (!level) {
    std::cerr << "LOG_LEVEL: must be error, info or debug, not '" << name << "'\n";
    return false;
  }
  spdlog::set_level(*level);
  return true;
}

}  // namespace marblevale
