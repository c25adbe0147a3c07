#include "manifest/internal/json_syntax_check.h"

#include <system_error>

#include "absl/strings/ascii.h"
#include "absl/strings/charconv.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "manifest/internal/quote.h"

namespace teaseljunction {
namespace {

// A manifest nests three levels deep; the limit bounds the recursion on hostile input.
constexpr int kMaxDepth = 16;
constexpr unsigned char kFirstPrintable = 0x20;

/// Recursive-descent checker. Reads the text once and tracks the path of the current value for
/// error messages. The Read functions return false after setting `error_`.
class json_syntax_checker {
 public:
  explicit json_syntax_checker(absl::string_view text) : text_(text) {}

  absl::optional<std::string> FindError() {
    if (!ReadValue(0)) return error_;
    SkipWhitespace();
    if (position_ < text_.size()) {
      SetError("text after the end of the value");
      return error_;
    }
    return absl::nullopt;
  }

 private:
  bool AtEnd() const { return position_ >= text_.size(); }
  char Current() const { return AtEnd() ? '\0' : text_[position_]; }

  bool SetError(absl::string_view reason) {
    size_t line = 1;
    size_t column = 1;
    for (const char byte : text_.substr(0, position_)) {
      column = byte == '\n' ? 1 : column + 1;
      line += byte == '\n' ? 1 : 0;
    }
    error_ =
        absl::StrCat(field_path_.empty() ? "manifest" : field_path_, " (line ", line, ", column ",
                     column, "): ", AtEnd() ? "the text ends too early; " : "", reason);
    return false;
  }

  void SkipWhitespace() {
    while (!AtEnd() && absl::StrContains(" \t\r\n", Current())) ++position_;
  }

  bool Expect(char expected, absl::string_view reason) {
    SkipWhitespace();
    if (AtEnd() || Current() != expected) return SetError(reason);
    ++position_;
    return true;
  }

  bool ConsumeIf(char expected) {
    SkipWhitespace();
    if (AtEnd() || Current() != expected) return false;
    ++position_;
    return true;
  }

  bool ReadValue(int depth) {
    SkipWhitespace();
    if (depth > kMaxDepth) return SetError(absl::StrCat("nested deeper than ", kMaxDepth));
    if (AtEnd()) return SetError("expected a value");
    switch (Current()) {
      case '{':
        return ReadObject(depth);
      case '[':
        return ReadArray(depth);
      case '"':
        return ReadString(nullptr);
      case 't':
        return ReadLiteral("true");
      case 'f':
        return ReadLiteral("false");
      case 'n':
        return ReadLiteral("null");
      default:
        return ReadNumber();
    }
  }

  bool ReadObject(int depth) {
    ++position_;
    if (ConsumeIf('}')) return true;
    const size_t path_size = field_path_.size();
    do {
      std::string key;
      SkipWhitespace();
      if (AtEnd() || Current() != '"') return SetError("expected a field name in quotes");
      if (!ReadString(&key)) return false;
      absl::StrAppend(&field_path_, field_path_.empty() ? "" : ".", key);
      if (!Expect(':', "expected \":\" after the field name")) return false;
      if (!ReadValue(depth + 1)) return false;
      field_path_.resize(path_size);
    } while (ConsumeIf(','));
    return Expect('}', "expected \",\" or \"}\"");
  }

  bool ReadArray(int depth) {
    ++position_;
    if (ConsumeIf(']')) return true;
    const size_t path_size = field_path_.size();
    size_t index = 0;
    do {
      absl::StrAppend(&field_path_, "[", index++, "]");
      if (!ReadValue(depth + 1)) return false;
      field_path_.resize(path_size);
    } while (ConsumeIf(','));
    return Expect(']', "expected \",\" or \"]\"");
  }

  // Unless `printable` is null, stores a shortened printable form of the string in it.
  bool ReadString(std::string* printable) {
    const size_t start = ++position_;
    while (!AtEnd() && Current() != '"') {
      if (static_cast<unsigned char>(Current()) < kFirstPrintable) {
        return SetError("control character in a string");
      }
      if (Current() == '\\' && !ReadEscape()) return false;
      if (!AtEnd()) ++position_;
    }
    if (AtEnd()) return SetError("expected the end of a string");
    if (printable != nullptr) {
      const std::string quoted = Quote(text_.substr(start, position_ - start));
      *printable = quoted.substr(1, quoted.size() - 2);
    }
    ++position_;
    return true;
  }

  // On success, `position_` is at the last character of the escape sequence.
  bool ReadEscape() {
    ++position_;
    if (AtEnd() || !absl::StrContains("\"\\/bfnrtu", Current())) {
      return SetError("unknown escape sequence");
    }
    if (Current() != 'u') return true;
    for (int i = 0; i < 4; ++i) {
      ++position_;
      if (AtEnd() || !absl::ascii_isxdigit(static_cast<unsigned char>(Current()))) {
        return SetError("expected four hexadecimal digits after \"\\u\"");
      }
    }
    return true;
  }

  bool ReadLiteral(absl::string_view literal) {
    for (const char byte : literal) {
      if (AtEnd() || Current() != byte) return SetError("expected a value");
      ++position_;
    }
    return true;
  }

  bool SkipDigits() {
    const size_t start = position_;
    while (absl::ascii_isdigit(static_cast<unsigned char>(Current()))) ++position_;
    return position_ > start;
  }

  bool ReadNumber() {
    const size_t start = position_;
    if (Current() == '-') ++position_;
    const bool leading_zero = Current() == '0';
    const size_t first_digit = position_;
    if (!SkipDigits()) return SetError("expected a value");
    if (leading_zero && position_ - first_digit > 1) {
      return SetError("a number must not start with 0");
    }
    if (Current() == '.') {
      ++position_;
      if (!SkipDigits()) return SetError("expected a digit after \".\"");
    }
    if (Current() == 'e' || Current() == 'E') {
      ++position_;
      if (Current() == '+' || Current() == '-') ++position_;
      if (!SkipDigits()) return SetError("expected a digit in the exponent");
    }
    return CheckNumberRange(start);
  }

  bool CheckNumberRange(size_t start) {
    double value = 0;
    const auto parsed = absl::from_chars(text_.data() + start, text_.data() + position_, value);
    if (parsed.ec == std::errc()) return true;
    return SetError("the number is out of range");
  }

  absl::string_view text_;
  size_t position_ = 0;
  std::string field_path_;
  std::string error_;
};

}  // namespace

absl::optional<std::string> FindJsonSyntaxError(absl::string_view text) {
  return json_syntax_checker(text).FindError();
}

}  // namespace teaseljunction
