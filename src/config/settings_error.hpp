// The error for invalid settings. Its message names the setting, so that an operator can correct
// it.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>

namespace marblevale {

/// A setting that is missing or invalid, or a settings file that can't be read.
class SettingsError : public std::runtime_error {
 public:
  /// For a problem that belongs to no single key.
  explicit SettingsError(const std::string& problem) : std::runtime_error(problem) {}
  /// `key`: the key's path in the settings file, or the flag. The message begins with `key`.
  SettingsError(const std::string& key, const std::string& problem)
      : std::runtime_error(key + ": " + problem), key_(key) {}

  [[nodiscard]] const std::optional<std::string>& key() const { return key_; }

 private:
  std::optional<std::string> key_;
};

}  // namespace marblevale
