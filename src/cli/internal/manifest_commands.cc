#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/strings/str_cat.h"
#include "cli/commands.h"
#include "cli/internal/flags.h"
#include "cli/operators_json.h"
#include "cli/text_table.h"
#include "manifest/manifest_codec.h"
#include "manifest/manifest_diff.h"

namespace teaseljunction {
namespace {

constexpr char kManifestPath[] = "/teaseljunction/v1/manifest";

using arguments = std::vector<std::string>;

outcome<manifest> ReadManifestFile(const std::string& path) {
  return Capture<manifest>([&]() -> result<manifest> {
    BOOST_LEAF_AUTO(text, ReadFile(path));
    return DecodeManifest(text);
  });
}

// An invalid manifest is refused; a file that cannot be read is a usage error.
exit_code ReportManifestError(const command_context& context, const std::string& path,
                              const error& failure) {
  if (failure.kind != error_kind::kManifestInvalid) return ReportUsageError(context, failure);
  context.err << path << ": " << failure.detail << "\n";
  return exit_code::kRefused;
}

exit_code Check(const command_context& context, const arguments& args) {
  const outcome<manifest> read = ReadManifestFile(args[0]);
  const bool json = absl::GetFlag(FLAGS_json);
  if (read.index() == 1) {
    const error& failure = std::get<1>(read);
    if (json && failure.kind == error_kind::kManifestInvalid) {
      context.out << EncodeCheckError(failure.detail) << "\n";
    }
    return ReportManifestError(context, args[0], failure);
  }
  const manifest& checked = std::get<0>(read);
  if (json) {
    context.out << EncodeCheckResult(checked) << "\n";
    return exit_code::kOk;
  }
  context.out << "valid: version " << checked.version << ", " << checked.client_accounts.size()
              << " client accounts, " << checked.services.size() << " services, "
              << checked.routes.size() << " routes, digest " << ManifestDigest(checked) << "\n";
  return exit_code::kOk;
}

exit_code Submit(const command_context& context, const arguments& args) {
  const outcome<manifest> read = ReadManifestFile(args[0]);
  if (read.index() == 1) return ReportManifestError(context, args[0], std::get<1>(read));
  auto client = Capture<operators_client>([&] { return ClientFromFlags(context); });
  if (client.index() == 1) return ReportUsageError(context, std::get<1>(client));

  const operators_result response = std::get<0>(client).Send(
      "POST", kManifestPath, EncodeManifest(std::get<0>(read)), retry_safety::kIdempotent);
  if (response.code != exit_code::kOk) return ReportFailure(context, response);
  if (absl::GetFlag(FLAGS_json)) {
    context.out << response.body << "\n";
    return exit_code::kOk;
  }
  const auto accepted = Capture<submit_answer>([&] { return DecodeSubmitAnswer(response.body); });
  const bool already_accepted = accepted.index() == 0 && std::get<0>(accepted).already_accepted;
  context.out << "version " << std::get<0>(read).version
              << (already_accepted ? " was accepted before" : " is accepted") << ", digest "
              << ManifestDigest(std::get<0>(read)) << "\n";
  return exit_code::kOk;
}

// Fetches the manifest in force. After a failed request, `response` holds the exit code.
outcome<manifest> FetchManifest(const command_context& context, operators_result& response) {
  return Capture<manifest>([&]() -> result<manifest> {
    BOOST_LEAF_AUTO(client, ClientFromFlags(context));
    response = client.Send("GET", kManifestPath, "", retry_safety::kReadOnly);
    if (response.code != exit_code::kOk) return Fail(error_kind::kNotFound, response.message);
    return DecodeManifest(response.body);
  });
}

exit_code ReportFetchError(const command_context& context, const operators_result& response,
                           const error& failure) {
  if (failure.kind == error_kind::kSettingInvalid) return ReportUsageError(context, failure);
  if (failure.kind == error_kind::kNotFound) return ReportFailure(context, response);
  context.err << "the server sent an invalid manifest: " << failure.detail << "\n";
  return exit_code::kRefused;
}

std::string YesNo(bool value) { return value ? "yes" : "no"; }

void PrintManifest(const manifest& shown, std::ostream& out) {
  out << "version " << shown.version << ", digest " << ManifestDigest(shown) << "\n\n";
  std::vector<std::vector<std::string>> rows = {{"CLIENT ACCOUNT", "RATE/S", "BURST", "KEYS"}};
  for (const client_account& account : shown.client_accounts) {
    rows.push_back({account.name, absl::StrCat(account.rate), absl::StrCat(account.burst),
                    absl::StrCat(account.key_digests.size())});
  }
  PrintTable(rows, out);
  rows = {{"SERVICE", "MAX CONCURRENCY", "RETRY RATIO"}};
  for (const service& entry : shown.services) {
    const std::string limit =
        entry.max_concurrency == 0 ? "slots" : absl::StrCat(entry.max_concurrency);
    rows.push_back({entry.name, limit, absl::StrCat(entry.retry_ratio)});
  }
  out << "\n";
  PrintTable(rows, out);
  rows = {{"ROUTE", "METHOD", "PATH", "SERVICE", "PRIORITY", "IDEMPOTENT", "OPEN", "TIMEOUT",
           "ATTEMPTS"}};
  for (const route& entry : shown.routes) {
    rows.push_back({entry.name, entry.method, entry.path, entry.service,
                    absl::StrCat(PriorityName(entry.priority)), YesNo(entry.idempotent),
                    YesNo(entry.open), absl::FormatDuration(entry.timeout),
                    absl::StrCat(entry.max_attempts)});
  }
  out << "\n";
  PrintTable(rows, out);
}

exit_code Show(const command_context& context, const arguments&) {
  operators_result response;
  const outcome<manifest> fetched = FetchManifest(context, response);
  if (fetched.index() == 1) return ReportFetchError(context, response, std::get<1>(fetched));
  if (absl::GetFlag(FLAGS_json)) {
    context.out << EncodeManifest(std::get<0>(fetched)) << "\n";
  } else {
    PrintManifest(std::get<0>(fetched), context.out);
  }
  return exit_code::kOk;
}

exit_code PrintDiff(const command_context& context, const manifest& before, const manifest& after) {
  const std::vector<manifest_change> changes = DiffManifests(before, after);
  if (absl::GetFlag(FLAGS_json)) {
    context.out << EncodeChanges(changes) << "\n";
  } else {
    context.out << (changes.empty() ? "no differences\n" : FormatChanges(changes));
  }
  return exit_code::kOk;
}

exit_code Diff(const command_context& context, const arguments& args) {
  const outcome<manifest> first = ReadManifestFile(args[0]);
  if (first.index() == 1) return ReportManifestError(context, args[0], std::get<1>(first));
  if (args.size() == 2) {
    const outcome<manifest> second = ReadManifestFile(args[1]);
    if (second.index() == 1) return ReportManifestError(context, args[1], std::get<1>(second));
    return PrintDiff(context, std::get<0>(first), std::get<0>(second));
  }
  operators_result response;
  const outcome<manifest> fetched = FetchManifest(context, response);
  if (fetched.index() == 1) return ReportFetchError(context, response, std::get<1>(fetched));
  return PrintDiff(context, std::get<0>(fetched), std::get<0>(first));
}

}  // namespace

std::vector<command_entry> ManifestCommands() {
  const std::vector<std::string> server_flags = {"servers", "timeout", "json"};
  return {
      {"manifest check",
       "FILE",
       1,
       1,
       {"json"},
       "Checks a manifest without a server. \"-\" reads the standard input. Exit code 1 when it is "
       "invalid.",
       Check},
      {"manifest submit", "FILE", 1, 1, server_flags,
       "Checks a manifest and puts it in force. Submitting the same manifest again is safe, so "
       "this command repeats it while the outcome is unknown.",
       Submit},
      {"manifest show", "", 0, 0, server_flags, "Prints the manifest in force.", Show},
      {"manifest diff", "FILE [FILE]", 1, 2, server_flags,
       "Prints what changes from the first file to the second one or, with one file, from the "
       "manifest in force to the file.",
       Diff},
  };
}

}  // namespace teaseljunction
