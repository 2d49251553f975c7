// Typed reading of the settings file: each value is checked, and each error names its key.
#pragma once

#include <toml++/toml.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace marblevale {

/// One table of a TOML document, with the path of its keys for error messages. Refers to the
/// document, which must outlive it. All reads throw SettingsError.
class TomlSection {
 public:
  /// `path`: empty for the document itself.
  TomlSection(const toml::table& table, std::string path);

  [[nodiscard]] bool contains(const char* key) const { return table_.contains(key); }
  [[nodiscard]] std::string key_path(const char* key) const;

  [[nodiscard]] TomlSection section(const char* key) const;
  /// Visits the tables of an array in order. Returns how many there are: 0 when the key holds no
  /// array.
  std::size_t for_each_section(const char* key,
                               const std::function<void(const TomlSection&)>& visit) const;

  /// A text that is not empty.
  [[nodiscard]] std::string text(const char* key) const;
  /// Texts that are not empty, at least one.
  [[nodiscard]] std::vector<std::string> texts(const char* key) const;
  /// A number from 0 to 1e9; `default_value` when the key is absent.
  [[nodiscard]] double number(const char* key,
                              std::optional<double> default_value = std::nullopt) const;
  /// A number above 0.
  [[nodiscard]] double positive(const char* key) const;
  /// A number of at least 1, without its fraction; `default_value` when the key is absent.
  [[nodiscard]] std::size_t count(const char* key,
                                  std::optional<std::size_t> default_value = std::nullopt) const;

 private:
  const toml::table& table_;
  std::string path_;
};

}  // namespace marblevale
