// Typed access to the settings file. Each value is checked when it is read, and each error names
// the key.
#pragma once

#include <toml++/toml.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace marblevale {

/// One table of a TOML document, with the path of its keys for error messages. Refers to the
/// document, which must outlive the section. The functions that read a value throw SettingsError
/// when the value is missing or invalid.
class TomlSection {
 public:
  /// `path`: empty for the document itself.
  TomlSection(const toml::table& table, std::string path);

  [[nodiscard]] bool contains(const char* key) const { return table_.contains(key); }
  [[nodiscard]] std::string key_path(const char* key) const;

  [[nodiscard]] TomlSection section(const char* key) const;
  /// Visits the tables of an array in order. Returns the number of tables, which is 0 when the key
  /// holds no array.
  std::size_t for_each_section(const char* key,
                               const std::function<void(const TomlSection&)>& visit) const;

  /// Reads a text that is not empty.
  [[nodiscard]] std::string text(const char* key) const;
  /// Reads an array of at least one text, none of them empty.
  [[nodiscard]] std::vector<std::string> texts(const char* key) const;
  /// Reads a number from 0 to 1e9. Returns `default_value`, if given, when the key is absent.
  [[nodiscard]] double number(const char* key,
                              std::optional<double> default_value = std::nullopt) const;
  /// Reads a number above 0, up to 1e9.
  [[nodiscard]] double positive(const char* key) const;
  /// Reads a number from 1 to 1e9 and drops its fraction. Returns `default_value`, if given, when
  /// the key is absent.
  [[nodiscard]] std::size_t count(const char* key,
                                  std::optional<std::size_t> default_value = std::nullopt) const;

 private:
  const toml::table& table_;
  std::string path_;
};

}  // namespace marblevale
