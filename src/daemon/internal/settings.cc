#include "daemon/settings.h"

#include <arpa/inet.h>

#include <cstdlib>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/reflection.h"
#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:8080",
          "IP:port for callers and for the target beside this daemon");
ABSL_FLAG(std::string, operators_listen, "127.0.0.1:8081", "IP:port for operators");
ABSL_FLAG(std::string, rpc_listen, "127.0.0.1:8082",
          "IP:port for other daemons; they reach this daemon under it");
ABSL_FLAG(std::string, data_centre, "", "name of the data centre of this host");
ABSL_FLAG(std::string, daemon_id, "", "unique name of this daemon, the same after a restart");
ABSL_FLAG(bool, control, false, "make this daemon a member of the control group");
ABSL_FLAG(std::string, data_dir, "", "folder for durable state; required with --control");
ABSL_FLAG(std::string, control_peers, "",
          "comma separated IP:port list of the control members' --rpc_listen addresses");
ABSL_FLAG(absl::Duration, freshness_lease, absl::Seconds(5),
          "time for which a confirmed manifest is used without a new confirmation, 1s to 16s");
ABSL_FLAG(absl::Duration, token_wait, absl::Milliseconds(300),
          "longest wait of a request for a token of its client account, 0s to 5s");
ABSL_FLAG(absl::Duration, drain_delay, absl::Seconds(2),
          "time between announcing a planned shutdown and refusing new calls, 0s to 60s");
ABSL_FLAG(absl::Duration, drain_timeout, absl::Seconds(30),
          "longest wait for running calls at a planned shutdown, 1s to 600s");
ABSL_FLAG(uint32_t, http_threads, 0,
          "threads that serve HTTP, 0 to 64; 0 uses the daemon's event loop");
ABSL_FLAG(uint32_t, rpc_threads, 0,
          "threads that serve and that call other daemons, 0 to 64; 0 uses the event loop");
ABSL_FLAG(uint32_t, client_threads, 0,
          "threads that call the target, 0 to 64; 0 uses the event loop");
ABSL_FLAG(uint32_t, control_voters, 0,
          "voters that the control group keeps by itself, 0 to 9; 0 leaves it to operators");
ABSL_FLAG(absl::Duration, control_replacement_timeout, absl::Seconds(4),
          "time without contact after which a spare control member replaces a voter, 1s to 600s");
ABSL_FLAG(uint32_t, durable_copies, 1,
          "control members that must store a manifest before it is accepted, 1 to 5");
ABSL_FLAG(absl::Duration, target_lease, absl::Seconds(3),
          "time for which an announcement of the target is valid, 1s to 60s");
ABSL_FLAG(absl::Duration, target_drain_time, teaseljunction::kTargetDrainTime,
          "time for which a target serves after announcing that it is draining, 100ms to 600s");
ABSL_FLAG(uint64_t, max_body_bytes, 1 << 20, "largest body of a request, 1 to 67108864 bytes");
ABSL_FLAG(
    uint64_t, max_answer_memory, 32 << 20,
    "memory for all answers of the target that are being received, 4194304 to 1073741824 bytes");
ABSL_FLAG(uint64_t, max_request_memory, 128 << 20,
          "memory for bodies of requests, 1048576 to 4294967296 bytes and not below "
          "--max_body_bytes");
ABSL_FLAG(std::string, log_file, "", "file for the log; empty for the standard output");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");

namespace teaseljunction {
namespace {

constexpr absl::string_view kEnvironmentPrefix = "TEASELJUNCTION_";
constexpr uint32_t kMaxThreads = 64;
constexpr uint32_t kMaxVoters = 9;
constexpr uint32_t kMaxCopies = 5;
constexpr uint64_t kMaxBodyBytes = 64 << 20;
constexpr uint64_t kMinAnswerMemory = 4 << 20;
constexpr uint64_t kMaxAnswerMemory = 1 << 30;
constexpr uint64_t kMinRequestMemory = 1 << 20;
constexpr uint64_t kMaxRequestMemory = uint64_t{4} << 30;
constexpr size_t kMaxNameBytes = 64;
// Flags that can also be set by environment variables.
constexpr absl::string_view kFlagNames[] = {"listen",
                                            "operators_listen",
                                            "rpc_listen",
                                            "data_centre",
                                            "daemon_id",
                                            "control",
                                            "data_dir",
                                            "control_peers",
                                            "freshness_lease",
                                            "token_wait",
                                            "drain_delay",
                                            "drain_timeout",
                                            "http_threads",
                                            "rpc_threads",
                                            "client_threads",
                                            "max_body_bytes",
                                            "max_answer_memory",
                                            "max_request_memory",
                                            "log_file",
                                            "log_level",
                                            "control_voters",
                                            "durable_copies",
                                            "control_replacement_timeout",
                                            "target_drain_time",
                                            "target_lease"};

result<void> ApplyEnvironment() {
  for (const absl::string_view name : kFlagNames) {
    const std::string variable = absl::StrCat(kEnvironmentPrefix, absl::AsciiStrToUpper(name));
    const char* value = std::getenv(variable.c_str());
    if (value == nullptr) continue;
    std::string parse_error;
    if (!absl::FindCommandLineFlag(name)->ParseFrom(value, &parse_error)) {
      return Fail(error_kind::kSettingInvalid, absl::StrCat(variable, ": ", parse_error));
    }
  }
  return {};
}

result<void> Require(bool valid, absl::string_view flag, absl::string_view reason) {
  if (valid) return {};
  return Fail(error_kind::kSettingInvalid, absl::StrCat("--", flag, ": ", reason));
}

bool IsAddress(absl::string_view address) {
  const size_t colon = address.rfind(':');
  if (colon == absl::string_view::npos) return false;
  int port = 0;
  if (!absl::SimpleAtoi(address.substr(colon + 1), &port) || port < 1 || port > 65535) return false;
  in_addr ipv4_address{};
  return inet_pton(AF_INET, std::string(address.substr(0, colon)).c_str(), &ipv4_address) == 1;
}

result<void> ValidateAddresses(const daemon_settings& settings) {
  constexpr absl::string_view reason = "must be an IPv4 address and a port, such as 10.0.0.1:8080.";
  BOOST_LEAF_CHECK(Require(IsAddress(settings.listen), "listen", reason));
  BOOST_LEAF_CHECK(Require(IsAddress(settings.operators_listen), "operators_listen", reason));
  BOOST_LEAF_CHECK(Require(IsAddress(settings.rpc_listen), "rpc_listen", reason));
  BOOST_LEAF_CHECK(Require(!settings.control_peers.empty(), "control_peers",
                           "at least one control member is required."));
  for (const std::string& peer : settings.control_peers) {
    BOOST_LEAF_CHECK(Require(IsAddress(peer), "control_peers", reason));
  }
  return {};
}

result<void> ValidateName(absl::string_view name, absl::string_view flag) {
  bool valid = !name.empty() && name.size() <= kMaxNameBytes;
  for (const char character : name) {
    valid = valid && (absl::ascii_isalnum(static_cast<unsigned char>(character)) ||
                      character == '-' || character == '.');
  }
  return Require(valid, flag, "must be 1 to 64 letters, digits, '-' or '.'.");
}

result<void> ValidateDuration(absl::Duration value, absl::Duration min, absl::Duration max,
                              absl::string_view flag) {
  return Require(value >= min && value <= max, flag,
                 absl::StrCat("must be from ", absl::FormatDuration(min), " to ",
                              absl::FormatDuration(max), "."));
}

result<void> ValidateThreads(uint32_t value, absl::string_view flag) {
  return Require(value <= kMaxThreads, flag, "must be from 0 to 64.");
}

result<void> ValidateSettings(const daemon_settings& settings) {
  BOOST_LEAF_CHECK(ValidateAddresses(settings));
  BOOST_LEAF_CHECK(ValidateName(settings.data_centre, "data_centre"));
  BOOST_LEAF_CHECK(ValidateName(settings.daemon_id, "daemon_id"));
  BOOST_LEAF_CHECK(Require(!settings.control || !settings.data_dir.empty(), "data_dir",
                           "is required with --control."));
  BOOST_LEAF_CHECK(ValidateDuration(settings.freshness_lease, absl::Seconds(1), absl::Seconds(16),
                                    "freshness_lease"));
  BOOST_LEAF_CHECK(
      ValidateDuration(settings.token_wait, absl::ZeroDuration(), absl::Seconds(5), "token_wait"));
  BOOST_LEAF_CHECK(ValidateDuration(settings.drain_delay, absl::ZeroDuration(), absl::Seconds(60),
                                    "drain_delay"));
  BOOST_LEAF_CHECK(ValidateDuration(settings.drain_timeout, absl::Seconds(1), absl::Seconds(600),
                                    "drain_timeout"));
  BOOST_LEAF_CHECK(ValidateThreads(settings.http_threads, "http_threads"));
  BOOST_LEAF_CHECK(ValidateThreads(settings.rpc_threads, "rpc_threads"));
  BOOST_LEAF_CHECK(ValidateThreads(settings.client_threads, "client_threads"));
  BOOST_LEAF_CHECK(
      Require(settings.control_voters <= kMaxVoters, "control_voters", "must be from 0 to 9."));
  BOOST_LEAF_CHECK(ValidateDuration(settings.control_replacement_timeout, absl::Seconds(1),
                                    absl::Seconds(600), "control_replacement_timeout"));
  BOOST_LEAF_CHECK(Require(settings.durable_copies >= 1 && settings.durable_copies <= kMaxCopies,
                           "durable_copies", "must be from 1 to 5."));
  BOOST_LEAF_CHECK(
      ValidateDuration(settings.target_lease, absl::Seconds(1), absl::Seconds(60), "target_lease"));
  BOOST_LEAF_CHECK(ValidateDuration(settings.target_drain_time, absl::Milliseconds(100),
                                    absl::Seconds(600), "target_drain_time"));
  BOOST_LEAF_CHECK(Require(settings.max_answer_memory >= kMinAnswerMemory &&
                               settings.max_answer_memory <= kMaxAnswerMemory,
                           "max_answer_memory", "must be from 4194304 to 1073741824."));
  BOOST_LEAF_CHECK(Require(settings.max_body_bytes >= 1 && settings.max_body_bytes <= kMaxBodyBytes,
                           "max_body_bytes", "must be from 1 to 67108864."));
  return Require(settings.max_request_memory >= kMinRequestMemory &&
                     settings.max_request_memory <= kMaxRequestMemory &&
                     settings.max_request_memory >= settings.max_body_bytes,
                 "max_request_memory",
                 "must be from 1048576 to 4294967296 and not below --max_body_bytes.");
}

daemon_settings SettingsFromFlags() {
  daemon_settings settings;
  settings.listen = absl::GetFlag(FLAGS_listen);
  settings.operators_listen = absl::GetFlag(FLAGS_operators_listen);
  settings.rpc_listen = absl::GetFlag(FLAGS_rpc_listen);
  settings.data_centre = absl::GetFlag(FLAGS_data_centre);
  settings.daemon_id = absl::GetFlag(FLAGS_daemon_id);
  settings.control = absl::GetFlag(FLAGS_control);
  settings.data_dir = absl::GetFlag(FLAGS_data_dir);
  settings.control_peers =
      absl::StrSplit(absl::GetFlag(FLAGS_control_peers), ',', absl::SkipWhitespace());
  settings.freshness_lease = absl::GetFlag(FLAGS_freshness_lease);
  settings.token_wait = absl::GetFlag(FLAGS_token_wait);
  settings.control_voters = absl::GetFlag(FLAGS_control_voters);
  settings.control_replacement_timeout = absl::GetFlag(FLAGS_control_replacement_timeout);
  settings.durable_copies = absl::GetFlag(FLAGS_durable_copies);
  settings.target_lease = absl::GetFlag(FLAGS_target_lease);
  settings.target_drain_time = absl::GetFlag(FLAGS_target_drain_time);
  settings.drain_delay = absl::GetFlag(FLAGS_drain_delay);
  settings.drain_timeout = absl::GetFlag(FLAGS_drain_timeout);
  settings.http_threads = absl::GetFlag(FLAGS_http_threads);
  settings.rpc_threads = absl::GetFlag(FLAGS_rpc_threads);
  settings.client_threads = absl::GetFlag(FLAGS_client_threads);
  settings.max_body_bytes = absl::GetFlag(FLAGS_max_body_bytes);
  settings.max_answer_memory = absl::GetFlag(FLAGS_max_answer_memory);
  settings.max_request_memory = absl::GetFlag(FLAGS_max_request_memory);
  settings.log = {absl::GetFlag(FLAGS_log_file), absl::GetFlag(FLAGS_log_level)};
  return settings;
}

}  // namespace

result<daemon_settings> ReadSettings(int argc, char** argv) {
  // The command line is parsed after the environment, so that it takes precedence.
  BOOST_LEAF_CHECK(ApplyEnvironment());
  const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
  if (positional.size() > 1) {
    return Fail(error_kind::kSettingInvalid,
                absl::StrCat("unexpected argument '", positional[1], "' on the command line."));
  }
  daemon_settings settings = SettingsFromFlags();
  BOOST_LEAF_CHECK(ValidateSettings(settings));
  return settings;
}

}  // namespace teaseljunction
