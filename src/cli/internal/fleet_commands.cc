#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "cli/commands.h"
#include "cli/internal/flags.h"
#include "cli/operators_json.h"
#include "cli/text_table.h"

namespace teaseljunction {
namespace {

constexpr char kStatusPath[] = "/teaseljunction/v1/status";
constexpr char kMembersPath[] = "/teaseljunction/v1/members";
constexpr char kDrainPath[] = "/teaseljunction/v1/drain";

using arguments = std::vector<std::string>;

std::string YesNo(bool value) { return value ? "yes" : "no"; }

std::string RoleName(member_role role) {
  constexpr const char* names[] = {"follower", "candidate", "leader", "learner", "failed"};
  return names[static_cast<size_t>(role)];
}

void PrintDaemon(const status_report& status, std::ostream& out) {
  std::vector<std::vector<std::string>> rows = {
      {"daemon", status.daemon.daemon_id},
      {"address", status.daemon.address},
      {"data centre", status.daemon.data_centre},
      {"manifest",
       absl::StrCat("version ", status.manifest_version, ", digest ", status.manifest_digest)},
      {"configuration", status.configuration_fresh ? "current" : "stale, calls are refused"},
      {"calls", absl::StrCat(status.calls_running, " running, ", status.calls_queued,
                             " queued, limit ", status.concurrency_limit)},
      {"draining", YesNo(status.daemon.draining)}};
  if (status.daemon.target.has_value()) {
    const target_announcement& target = *status.daemon.target;
    rows.push_back({"target", absl::StrCat(target.service, ", ", target.slots, " slots",
                                           target.draining ? ", draining" : "")});
  }
  if (status.is_control_member) {
    rows.push_back(
        {"control", absl::StrCat(RoleName(status.role), ", term ", status.term, ", commit index ",
                                 status.commit_index, ", leader ", status.leader_address)});
  }
  PrintTable(rows, out);
}

void PrintDirectory(const status_report& status, std::ostream& out) {
  std::vector<std::vector<std::string>> rows = {
      {"DAEMON", "ADDRESS", "DATA CENTRE", "SERVICE", "SLOTS", "DRAINING", "MANIFEST"}};
  for (const daemon_announcement& daemon : status.directory) {
    const bool has_target = daemon.target.has_value();
    rows.push_back({daemon.daemon_id, daemon.address, daemon.data_centre,
                    has_target ? daemon.target->service : "-",
                    has_target ? absl::StrCat(daemon.target->slots) : "-", YesNo(daemon.draining),
                    absl::StrCat(daemon.manifest_version)});
  }
  PrintTable(rows, out);
}

// Fetches the daemon status. After a failed request, `response` holds the exit code.
outcome<status_report> FetchStatus(const command_context& context, operators_result& response) {
  return Capture<status_report>([&]() -> result<status_report> {
    BOOST_LEAF_AUTO(client, ClientFromFlags(context));
    response = client.Send("GET", kStatusPath, "", retry_safety::kReadOnly);
    if (response.code != exit_code::kOk) return Fail(error_kind::kNotFound, response.message);
    return DecodeStatus(response.body);
  });
}

exit_code ReportFetchError(const command_context& context, const operators_result& response,
                           const error& failure) {
  if (failure.kind == error_kind::kSettingInvalid) return ReportUsageError(context, failure);
  if (failure.kind == error_kind::kNotFound) return ReportFailure(context, response);
  context.err << "the server sent an invalid status: " << failure.detail << "\n";
  return exit_code::kRefused;
}

exit_code Status(const command_context& context, const arguments&) {
  operators_result response;
  const outcome<status_report> fetched = FetchStatus(context, response);
  if (fetched.index() == 1) return ReportFetchError(context, response, std::get<1>(fetched));
  if (absl::GetFlag(FLAGS_json)) {
    context.out << response.body << "\n";
    return exit_code::kOk;
  }
  PrintDaemon(std::get<0>(fetched), context.out);
  context.out << "\n";
  PrintDirectory(std::get<0>(fetched), context.out);
  return exit_code::kOk;
}

exit_code ListMembers(const command_context& context, const arguments&) {
  operators_result response;
  const outcome<status_report> fetched = FetchStatus(context, response);
  if (fetched.index() == 1) return ReportFetchError(context, response, std::get<1>(fetched));
  const status_report& status = std::get<0>(fetched);
  if (!status.is_control_member) {
    context.err << "the server is no control member; give the address of one in --servers\n";
    return exit_code::kRefused;
  }
  if (absl::GetFlag(FLAGS_json)) {
    context.out << EncodeMembers(status) << "\n";
    return exit_code::kOk;
  }
  std::vector<std::vector<std::string>> rows = {{"MEMBER", "ADDRESS", "DATA CENTRE", "ROLE"}};
  for (const control_member_info& member : status.control_members) {
    std::string role = member.voter ? "voter" : "learner";
    if (member.address == status.leader_address) role = "leader";
    rows.push_back({absl::StrCat(member.member_id), member.address, member.data_centre, role});
  }
  PrintTable(rows, context.out);
  return exit_code::kOk;
}

exit_code ChangeMembers(const command_context& context, const std::string& action,
                        const arguments& args) {
  member_change change;
  change.action = action;
  if (!absl::SimpleAtoi(args[0], &change.member_id) || change.member_id == 0) {
    context.err << args[0] << " is not a member id; expected a whole number above 0\n";
    return exit_code::kUsage;
  }
  if (args.size() > 1) change.address = args[1];
  if (args.size() > 2) change.data_centre = args[2];
  auto client = Capture<operators_client>([&] { return ClientFromFlags(context); });
  if (client.index() == 1) return ReportUsageError(context, std::get<1>(client));
  const operators_result response = std::get<0>(client).Send(
      "POST", kMembersPath, EncodeMemberChange(change), retry_safety::kNonIdempotent);
  if (response.code != exit_code::kOk) return ReportFailure(context, response);
  context.out << "member " << change.member_id << ": " << action << " is committed\n";
  return exit_code::kOk;
}

exit_code AddMember(const command_context& context, const arguments& args) {
  return ChangeMembers(context, "add", args);
}

exit_code PromoteMember(const command_context& context, const arguments& args) {
  return ChangeMembers(context, "promote", args);
}

exit_code RemoveMember(const command_context& context, const arguments& args) {
  return ChangeMembers(context, "remove", args);
}

exit_code Drain(const command_context& context, const arguments&) {
  if (absl::GetFlag(FLAGS_servers).size() != 1) {
    context.err << "--servers must name exactly one daemon, the one to drain\n";
    return exit_code::kUsage;
  }
  auto client = Capture<operators_client>([&] { return ClientFromFlags(context); });
  if (client.index() == 1) return ReportUsageError(context, std::get<1>(client));
  const operators_result response =
      std::get<0>(client).Send("POST", kDrainPath, "", retry_safety::kNonIdempotent);
  if (response.code != exit_code::kOk) return ReportFailure(context, response);
  context.out << "the daemon is draining and stops when its calls have ended\n";
  return exit_code::kOk;
}

}  // namespace

std::vector<command_entry> FleetCommands() {
  const std::vector<std::string> server_flags = {"servers", "timeout", "json"};
  const std::vector<std::string> change_flags = {"servers", "timeout"};
  return {
      {"status", "", 0, 0, server_flags,
       "Prints the state of the first daemon of --servers that answers, and the directory of "
       "daemons as it knows it.",
       Status},
      {"members list", "", 0, 0, server_flags, "Lists the members of the control group.",
       ListMembers},
      {"members add", "ID ADDRESS DATA_CENTRE", 3, 3, change_flags,
       "Adds a control member as a learner. ADDRESS is the IP:port of its RPC server.", AddMember},
      {"members promote", "ID", 1, 1, change_flags, "Makes a learner that has caught up a voter.",
       PromoteMember},
      {"members remove", "ID", 1, 1, change_flags, "Removes a control member.", RemoveMember},
      {"drain", "", 0, 0, change_flags,
       "Asks the daemon in --servers to begin its planned shutdown. It takes no new calls, "
       "finishes the running ones and ends.",
       Drain},
  };
}

}  // namespace teaseljunction
