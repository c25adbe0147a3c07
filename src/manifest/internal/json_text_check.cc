#include "manifest/internal/json_text_check.h"

#include <system_error>

#include "absl/strings/ascii.h"
#include "absl/strings/charconv.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "manifest/internal/quote.h"

namespace teaseljunction {
namespace {

// A manifest nests three levels deep.
constexpr int kMaxDepth = 16;
constexpr unsigned char kFirstPrintable = 0x20;

/// Reads the text once, from left to right. The path of the current value is kept for messages.
class json_text_reader {
 public:
  explicit json_text_reader(absl::string_view text) : text_(text) {}

  absl::optional<std::string> FindFault() {
    if (!ReadValue(0)) return fault_;
    SkipSpace();
    if (position_ < text_.size()) {
      SetFault("text after the end of the value");
      return fault_;
    }
    return absl::nullopt;
  }

 private:
  bool AtEnd() const { return position_ >= text_.size(); }
  char Current() const { return AtEnd() ? '\0' : text_[position_]; }

  bool SetFault(absl::string_view reason) {
    size_t line = 1;
    size_t column = 1;
    for (const char byte : text_.substr(0, position_)) {
      column = byte == '\n' ? 1 : column + 1;
      line += byte == '\n' ? 1 : 0;
    }
    fault_ = absl::StrCat(path_.empty() ? "manifest" : path_, " (line ", line, ", column ", column,
                          "): ", AtEnd() ? "the text ends too early; " : "", reason);
    return false;
  }

  void SkipSpace() {
    while (!AtEnd() && absl::StrContains(" \t\r\n", Current())) ++position_;
  }

  bool Expect(char wanted, absl::string_view reason) {
    SkipSpace();
    if (AtEnd() || Current() != wanted) return SetFault(reason);
    ++position_;
    return true;
  }

  bool Take(char wanted) {
    SkipSpace();
    if (AtEnd() || Current() != wanted) return false;
    ++position_;
    return true;
  }

  bool ReadValue(int depth) {
    SkipSpace();
    if (depth > kMaxDepth) return SetFault(absl::StrCat("nested deeper than ", kMaxDepth));
    if (AtEnd()) return SetFault("expected a value");
    switch (Current()) {
      case '{':
        return ReadObject(depth);
      case '[':
        return ReadArray(depth);
      case '"':
        return ReadString(nullptr);
      case 't':
        return ReadWord("true");
      case 'f':
        return ReadWord("false");
      case 'n':
        return ReadWord("null");
      default:
        return ReadNumber();
    }
  }

  bool ReadObject(int depth) {
    ++position_;
    if (Take('}')) return true;
    const size_t path_size = path_.size();
    do {
      std::string key;
      SkipSpace();
      if (AtEnd() || Current() != '"') return SetFault("expected a field name in quotes");
      if (!ReadString(&key)) return false;
      absl::StrAppend(&path_, path_.empty() ? "" : ".", key);
      if (!Expect(':', "expected \":\" after the field name")) return false;
      if (!ReadValue(depth + 1)) return false;
      path_.resize(path_size);
    } while (Take(','));
    return Expect('}', "expected \",\" or \"}\"");
  }

  bool ReadArray(int depth) {
    ++position_;
    if (Take(']')) return true;
    const size_t path_size = path_.size();
    size_t index = 0;
    do {
      absl::StrAppend(&path_, "[", index++, "]");
      if (!ReadValue(depth + 1)) return false;
      path_.resize(path_size);
    } while (Take(','));
    return Expect(']', "expected \",\" or \"]\"");
  }

  // Stores a shortened printable form of the string in `shown` when it is not null.
  bool ReadString(std::string* shown) {
    const size_t start = ++position_;
    while (!AtEnd() && Current() != '"') {
      if (static_cast<unsigned char>(Current()) < kFirstPrintable) {
        return SetFault("control character in a string");
      }
      if (Current() == '\\' && !ReadEscape()) return false;
      if (!AtEnd()) ++position_;
    }
    if (AtEnd()) return SetFault("expected the end of a string");
    if (shown != nullptr) {
      const std::string quoted = Quote(text_.substr(start, position_ - start));
      *shown = quoted.substr(1, quoted.size() - 2);
    }
    ++position_;
    return true;
  }

  // Leaves the position at the last character of the escape sequence.
  bool ReadEscape() {
    ++position_;
    if (AtEnd() || !absl::StrContains("\"\\/bfnrtu", Current())) {
      return SetFault("unknown escape sequence");
    }
    if (Current() != 'u') return true;
    for (int i = 0; i < 4; ++i) {
      ++position_;
      if (AtEnd() || !absl::ascii_isxdigit(static_cast<unsigned char>(Current()))) {
        return SetFault("expected four hexadecimal digits after \"\\u\"");
      }
    }
    return true;
  }

  bool ReadWord(absl::string_view word) {
    for (const char byte : word) {
      if (AtEnd() || Current() != byte) return SetFault("expected a value");
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
    const bool zero_first = Current() == '0';
    const size_t digits = position_;
    if (!SkipDigits()) return SetFault("expected a value");
    if (zero_first && position_ - digits > 1) return SetFault("a number must not start with 0");
    if (Current() == '.') {
      ++position_;
      if (!SkipDigits()) return SetFault("expected a digit after \".\"");
    }
    if (Current() == 'e' || Current() == 'E') {
      ++position_;
      if (Current() == '+' || Current() == '-') ++position_;
      if (!SkipDigits()) return SetFault("expected a digit in the exponent");
    }
    return CheckNumberRange(start);
  }

  bool CheckNumberRange(size_t start) {
    double value = 0;
    const auto parsed = absl::from_chars(text_.data() + start, text_.data() + position_, value);
    if (parsed.ec == std::errc()) return true;
    return SetFault("the number is out of range");
  }

  absl::string_view text_;
  size_t position_ = 0;
  std::string path_;
  std::string fault_;
};

}  // namespace

absl::optional<std::string> FindJsonTextFault(absl::string_view text) {
  return json_text_reader(text).FindFault();
}

}  // namespace teaseljunction
