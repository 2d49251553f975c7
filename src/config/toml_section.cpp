#include "config/toml_section.hpp"

#include <cmath>
#include <utility>

#include "config/settings_error.hpp"

namespace marblevale {

namespace {

constexpr double kMaxNumber = 1e9;

}  // namespace

TomlSection::TomlSection(const toml::table& table, std::string path)
    : table_(table), path_(std::move(path)) {}

std::string TomlSection::key_path(const char* key) const {
  return path_.empty() ? key : path_ + "." + key;
}

TomlSection TomlSection::section(const char* key) const {
  const auto* table = table_[key].as_table();
  if (table == nullptr) throw SettingsError(key_path(key), "missing, or not a table");
  return {*table, key_path(key)};
}

std::size_t TomlSection::for_each_section(
    const char* key, const std::function<void(const TomlSection&)>& visit) const {
  const auto* array = table_[key].as_array();
  if (array == nullptr) return 0;
  for (std::size_t i = 0; i < array->size(); ++i) {
    const std::string path = key_path(key) + "[" + std::to_string(i) + "]";
    const auto* table = array->get(i)->as_table();
    if (table == nullptr) throw SettingsError(path, "not a table");
    visit(TomlSection(*table, path));
  }
  return array->size();
}

std::string TomlSection::text(const char* key) const {
  const auto value = table_[key].value_exact<std::string>();
  if (!value || value->empty()) throw SettingsError(key_path(key), "missing, or not a text");
  return *value;
}

std::vector<std::string> TomlSection::texts(const char* key) const {
  const auto* array = table_[key].as_array();
  if (array == nullptr || array->empty()) throw SettingsError(key_path(key), "missing, or empty");
  std::vector<std::string> texts;
  for (const auto& item : *array) {
    const auto value = item.value_exact<std::string>();
    if (!value || value->empty()) throw SettingsError(key_path(key), "holds what is not a text");
    texts.push_back(*value);
  }
  return texts;
}

double TomlSection::number(const char* key, std::optional<double> default_value) const {
  if (!contains(key) && default_value) return *default_value;
  const auto value = table_[key].value<double>();
  if (!value || !std::isfinite(*value)) {
    throw SettingsError(key_path(key), "missing, or not a number");
  }
  if (*value < 0 || *value > kMaxNumber) throw SettingsError(key_path(key), "out of range");
  return *value;
}

double TomlSection::positive(const char* key) const {
  const double value = number(key);
  if (value <= 0) throw SettingsError(key_path(key), "must be more than 0");
  return value;
}

std::size_t TomlSection::count(const char* key, std::optional<std::size_t> default_value) const {
  if (!contains(key) && default_value) return *default_value;
  const double value = number(key);
  if (value < 1) throw SettingsError(key_path(key), "must be at least 1");
  return static_cast<std::size_t>(value);
}

}  // namespace marblevale
