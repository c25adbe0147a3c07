#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "standin/types.h"

namespace teaseljunction {

/// Result of a child call. Status 0 means that no response was received.
struct child_result {
  std::string call;
  int status = 0;
};

/// Announcement of a stand-in target to its local daemon.
struct standin_announcement {
  std::string service;
  uint64_t incarnation = 0;
  uint32_t slots = 0;
  bool draining = false;
  double load = 0;
  std::string address;
};

/// Returns the body of the response to a request. It identifies the request, so that the caller can
/// check that the response belongs to it.
std::string EncodeAnswer(const std::string& service, const standin_request& request,
                         const std::string& result, const std::vector<child_result>& children);

std::string EncodeStats(const std::string& service, uint64_t incarnation,
                        const standin_counters& counters);

std::string EncodeAnnouncement(const standin_announcement& announcement);

}  // namespace teaseljunction
