#pragma once

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <utility>
#include <variant>

#include "common/error_kind.h"

namespace teaseljunction {

/// Result of a function that can fail with an `error`.
template <class T>
using result = boost::leaf::result<T>;

/// Returns a failed result of kind `kind`.
inline boost::leaf::error_id Fail(error_kind kind, std::string detail = {}) {
  return boost::leaf::new_error(error{kind, std::move(detail)});
}

/// The value or the error of a completed asynchronous operation. Unlike `result`, it can be passed
/// to another thread.
template <class T>
using outcome = std::variant<T, error>;

/// Runs `body`, which returns `result<T>`, and converts its value or error into an `outcome<T>`. A
/// failure that carries no `error` becomes kInternal.
template <class T, class Body>
outcome<T> Capture(Body&& body) {
  return boost::leaf::try_handle_all(
      [&]() -> result<outcome<T>> {
        result<T> value = body();
        if (!value) return value.error();
        return outcome<T>(std::in_place_index<0>, std::move(*value));
      },
      [](const error& failure) { return outcome<T>(std::in_place_index<1>, failure); },
      [] { return outcome<T>(std::in_place_index<1>, error{}); });
}

}  // namespace teaseljunction
