/// Typed access to JSON over RapidJSON: reading members that may be absent, null or of another
/// type, and writing objects.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marblevale::json {

using Value = rapidjson::Value;
using Document = rapidjson::Document;

/// Parses a JSON object; returns false for any other text. The parser is iterative, so that deeply
/// nested untrusted text can't exhaust the stack.
inline bool parse(Document& doc, std::string_view text) {
  doc.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(text.data(),
                                                                                    text.size());
  return !doc.HasParseError() && doc.IsObject();
}

/// The member `name`, or nullptr when it is absent or null or when `object` is not an object.
inline const Value* field(const Value& object, const char* name) {
  if (!object.IsObject()) return nullptr;
  const auto it = object.FindMember(name);
  return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

/// The member `name` as a string, or nullopt when it is absent or of another type. The accessors
/// below do the same for their types.
inline std::optional<std::string> text(const Value& object, const char* name) {
  const Value* v = field(object, name);
  if (v == nullptr || !v->IsString()) return std::nullopt;
  return std::string(v->GetString(), v->GetStringLength());
}

/// A finite number.
inline std::optional<double> number(const Value& object, const char* name) {
  const Value* v = field(object, name);
  if (v == nullptr || !v->IsNumber() || !std::isfinite(v->GetDouble())) return std::nullopt;
  return v->GetDouble();
}

/// A non-negative integer.
inline std::optional<std::uint64_t> count(const Value& object, const char* name) {
  const Value* v = field(object, name);
  if (v == nullptr || !v->IsUint64()) return std::nullopt;
  return v->GetUint64();
}

/// An integer of either sign.
inline std::optional<std::int64_t> integer(const Value& object, const char* name) {
  const Value* v = field(object, name);
  if (v == nullptr || !v->IsInt64()) return std::nullopt;
  return v->GetInt64();
}

/// A boolean.
inline std::optional<bool> flag(const Value& object, const char* name) {
  const Value* v = field(object, name);
  if (v == nullptr || !v->IsBool()) return std::nullopt;
  return v->GetBool();
}

/// An array, or nullptr.
inline const Value* list(const Value& object, const char* name) {
  const Value* v = field(object, name);
  return v != nullptr && v->IsArray() ? v : nullptr;
}

/// Writes one JSON document without white space. The caller must keep the document well-formed: a
/// `key` precedes each value of an object, and each `open` has its `close`.
class Writer {
 public:
  Writer() : writer_(buffer_) {}
  Writer& open() {
    writer_.StartObject();
    return *this;
  }
  Writer& close() {
    writer_.EndObject();
    return *this;
  }
  Writer& open_list() {
    writer_.StartArray();
    return *this;
  }
  Writer& close_list() {
    writer_.EndArray();
    return *this;
  }
  Writer& key(const char* name) {
    writer_.Key(name);
    return *this;
  }
  Writer& value(std::string_view s) {
    writer_.String(s.data(), static_cast<rapidjson::SizeType>(s.size()));
    return *this;
  }
  Writer& value(const std::string& s) { return value(std::string_view(s)); }
  Writer& value(const char* s) { return value(std::string_view(s)); }
  Writer& value(bool b) {
    writer_.Bool(b);
    return *this;
  }
  Writer& value(double d) {
    writer_.Double(d);
    return *this;
  }
  Writer& value(std::uint64_t n) {
    writer_.Uint64(n);
    return *this;
  }
  Writer& value(std::int64_t n) {
    writer_.Int64(n);
    return *this;
  }
  Writer& value(int n) {
    writer_.Int(n);
    return *this;
  }
  /// Writes a value that is already JSON text. The text is not checked.
  Writer& raw(std::string_view text) {
    writer_.RawValue(text.data(), text.size(), rapidjson::kObjectType);
    return *this;
  }
  /// Adds a member to the open object.
  template <typename T>
  Writer& put(const char* name, const T& v) {
    return key(name).value(v);
  }
  [[nodiscard]] std::string str() const { return {buffer_.GetString(), buffer_.GetSize()}; }

 private:
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> writer_;
};

}  // namespace marblevale::json
