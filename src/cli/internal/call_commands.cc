#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "cli/commands.h"
#include "cli/internal/flags.h"
#include "cli/operators_json.h"
#include "common/digest.h"
#include "common/random_source.h"

namespace teaseljunction {
namespace {

// Lets secret scanners recognise keys in logs and repositories.
constexpr char kKeyPrefix[] = "tjk_";
constexpr int kKeyBytes = 32;

using arguments = std::vector<std::string>;

exit_code NewKey(const command_context& context, const arguments&) {
  system_random_source random;
  const std::string key = absl::StrCat(kKeyPrefix, RandomHex(random, kKeyBytes));
  const std::string digest = KeyDigest(key);
  if (absl::GetFlag(FLAGS_json)) {
    context.out << EncodeNewKey(key, digest) << "\n";
    return exit_code::kOk;
  }
  context.out << "key:    " << key << "\ndigest: " << digest << "\n";
  context.err << "The key is shown only once. Give it to the caller, and put the digest into the "
                 "manifest.\n";
  return exit_code::kOk;
}

result<std::string> ReadKey() {
  const std::string key = absl::GetFlag(FLAGS_key);
  const std::string file = absl::GetFlag(FLAGS_key_file);
  if (!key.empty() && !file.empty()) {
    return Fail(error_kind::kSettingInvalid, "--key and --key_file exclude each other");
  }
  if (file.empty()) return key;
  BOOST_LEAF_AUTO(content, ReadFile(file));
  return std::string(absl::StripAsciiWhitespace(content));
}

result<std::string> ReadBody() {
  const std::string body = absl::GetFlag(FLAGS_body);
  if (!absl::StartsWith(body, "@")) return body;
  return ReadFile(body.substr(1));
}

bool HasControlCharacter(const std::string& text) {
  for (const unsigned char byte : text) {
    if (absl::ascii_iscntrl(byte)) return true;
  }
  return false;
}

result<http_request> BuildRequest(const arguments& args) {
  http_request request{args[0], args[1], {}, ""};
  if (!absl::StartsWith(request.path, "/")) {
    return Fail(error_kind::kSettingInvalid,
                absl::StrCat(request.path, " is not a path; expected \"/...\""));
  }
  BOOST_LEAF_AUTO(key, ReadKey());
  const std::string identity = absl::GetFlag(FLAGS_idempotency_key);
  for (const std::string& text : {request.method, request.path, key, identity}) {
    if (HasControlCharacter(text)) {
      return Fail(error_kind::kSettingInvalid, "control characters are not allowed in headers");
    }
  }
  BOOST_LEAF_ASSIGN(request.body, ReadBody());
  if (!key.empty()) request.headers.push_back({"Authorization", absl::StrCat("Bearer ", key)});
  if (!identity.empty()) request.headers.push_back({"Idempotency-Key", identity});
  if (!request.body.empty()) request.headers.push_back({"Content-Type", "application/json"});
  return request;
}

exit_code ExitCodeFor(const call_result& call) {
  if (call.outcome == "may-have-run") return exit_code::kOutcomeUnknown;
  return call.status < 400 ? exit_code::kOk : exit_code::kRefused;
}

exit_code PrintCallResult(const command_context& context, const http_response& response) {
  call_result call;
  call.status = response.status;
  call.request_id =
      absl::StrCat(FindHeader(response.headers, "Teaseljunction-Request-Id").value_or(""));
  call.outcome = absl::StrCat(FindHeader(response.headers, "Teaseljunction-Outcome").value_or(""));
  call.body = response.body;
  if (absl::GetFlag(FLAGS_json)) {
    context.out << EncodeCallResult(call) << "\n";
    return ExitCodeFor(call);
  }
  context.out << call.body << "\n";
  context.err << "status " << call.status << ", request " << call.request_id;
  if (!call.outcome.empty()) context.err << ", " << call.outcome;
  context.err << "\n";
  return ExitCodeFor(call);
}

exit_code Call(const command_context& context, const arguments& args) {
  const auto request = Capture<http_request>([&] { return BuildRequest(args); });
  if (request.index() == 1) return ReportUsageError(context, std::get<1>(request));
  const std::vector<std::string> entries = absl::GetFlag(FLAGS_entry);
  if (entries.empty()) {
    return ReportUsageError(context, {error_kind::kSettingInvalid,
                                      "--entry is missing; expected IP:port[,IP:port...]"});
  }
  const auto timeout = Capture<absl::Duration>([] { return TimeoutFromFlags(); });
  if (timeout.index() == 1) return ReportUsageError(context, std::get<1>(timeout));
  operators_result failed;
  for (const std::string& entry : entries) {
    const transport_result sent =
        context.transport.Send(entry, std::get<0>(request), std::get<0>(timeout));
    if (sent.delivery == delivery_status::kAnswered) return PrintCallResult(context, sent.response);
    absl::StrAppend(&failed.message, failed.message.empty() ? "" : "\n", entry, ": ",
                    sent.error_message);
    if (sent.delivery == delivery_status::kNotSent) continue;
    failed.code = exit_code::kOutcomeUnknown;
    break;
  }
  return ReportFailure(context, failed);
}

}  // namespace

std::vector<command_entry> CallCommands() {
  return {
      {"key new",
       "",
       0,
       0,
       {"json"},
       "Prints a new random key once, and the digest of it for the manifest. The key is stored "
       "nowhere.",
       NewKey},
      {"call",
       "METHOD PATH",
       2,
       2,
       {"entry", "key", "key_file", "body", "idempotency_key", "timeout", "json"},
       "Sends one request through an HTTP entry point, once. The body of the response goes to the "
       "standard output. Exit code 0 for a status below 400, 4 when the request may have run.",
       Call},
  };
}

std::vector<command_entry> AllCommands() {
  std::vector<command_entry> commands = ManifestCommands();
  for (command_entry& command : CallCommands()) commands.push_back(std::move(command));
  for (command_entry& command : FleetCommands()) commands.push_back(std::move(command));
  for (command_entry& command : ExplainCommands()) commands.push_back(std::move(command));
  return commands;
}

}  // namespace teaseljunction
