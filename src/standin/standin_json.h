#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "standin/types.h"

namespace teaseljunction {

/// How a child call ended. Status 0 means that there was no response.
struct child_result {
  std::string call;
  int status = 0;
};

/// What a stand-in tells the daemon beside it.
struct standin_announcement {
  std::string service;
  uint64_t incarnation = 0;
  uint32_t slots = 0;
  bool draining = false;
  double load = 0;
  std::string address;
};

/// Returns the body of the response to a request. It identifies the request, so that a caller can
/// check that the response is its own.
std::string EncodeAnswer(const std::string& service, const standin_request& request,
                         const std::string& result, const std::vector<child_result>& children);

std::string EncodeStats(const std::string& service, uint64_t incarnation,
                        const standin_counters& counters);

std::string EncodeAnnouncement(const standin_announcement& announcement);

}  // namespace teaseljunction
