#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace teaseljunction {

/// A text that does not change and whose copies share its memory.
class shared_text {
 public:
  shared_text() = default;
  shared_text(std::string text)  // NOLINT(google-explicit-constructor)
      : text_(std::make_shared<std::string>(std::move(text))) {}
  shared_text(const char* text)  // NOLINT(google-explicit-constructor)
      : shared_text(std::string(text)) {}

  const std::string& Get() const {
    static const std::string empty;
    return text_ == nullptr ? empty : *text_;
  }
  operator const std::string&() const { return Get(); }  // NOLINT(google-explicit-constructor)

  size_t size() const { return Get().size(); }
  bool empty() const { return Get().empty(); }

  /// Returns the text and leaves this object empty. The text is copied if it is shared.
  std::string Take() {
    const std::shared_ptr<std::string> taken = std::exchange(text_, nullptr);
    if (taken == nullptr) return {};
    return taken.use_count() == 1 ? std::move(*taken) : *taken;
  }

 private:
  std::shared_ptr<std::string> text_;
};

}  // namespace teaseljunction
