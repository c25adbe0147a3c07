#include "daemon/operator_handler.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gateway/tests/mocks/virtual_scheduler.h"

namespace teaseljunction {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;

struct recorded_exchange : http_exchange {
  void Respond(http_response sent) override { response = std::move(sent); }
  void OnDisconnect(absl::AnyInvocable<void()>) override {}

  http_response response;
};

struct fixed_status : node_service {
  std::shared_ptr<call_execution> Execute(call, absl::AnyInvocable<void(execute_result)>) override {
    return nullptr;
  }
  void Sync(sync_request, absl::AnyInvocable<void(sync_response)>) override {}
  void Propose(command, absl::AnyInvocable<void(propose_response)>) override {}
  void HandleRaftMessage(std::string) override {}
  manifest_record Manifest() override { return {}; }
  status_report Status() override { return status; }
  absl::optional<manifest_record> AcceptedManifest() override { return absl::nullopt; }
  void RequestSync() override {}

  status_report status;
};

struct accepting_control : control_client {
  void Propose(command, absl::Time,
               absl::AnyInvocable<void(outcome<command_result>)> done) override {
    ++proposals;
    command_result accepted;
    accepted.applied = true;
    done(accepted);
  }

  int proposals = 0;
};

struct operators_fixture {
  virtual_scheduler time;
  fixed_status node;
  accepting_control control;
  call_metrics metrics;
  operator_handler handler{time, node, control, metrics, [] {}};

  http_response Send(const char* method, absl::string_view path, std::string body = "") {
    http_request request;
    request.method = method;
    request.path = std::string(path);
    request.body = std::move(body);
    const auto exchange = std::make_shared<recorded_exchange>();
    handler.Handle(std::move(request), exchange);
    return exchange->response;
  }
};

}  // namespace

// Guards against a name of another daemon that ends the process of the daemon that shows it.
TEST_CASE("the status is shown when a name from another daemon is not valid UTF-8") {
  operators_fixture fixture;
  daemon_announcement other{"d\xff", 1, "127.0.0.1:1", "dc\xc3"};
  other.target = target_announcement{"st\xe2\x82ock", 1, 8, false, 0, "127.0.0.1:2"};
  fixture.node.status.directory = {other};
  fixture.node.status.daemon = other;
  const http_response shown = fixture.Send("GET", "/teaseljunction/v1/status");
  CHECK(shown.status == kOk);
  CHECK(absl::StrContains(shown.body, "127.0.0.1:1"));
}

// Guards against a member that no other member can reach.
TEST_CASE("control members are added only with an address that can be called") {
  struct row {
    const char* address;
    int status;
  };
  for (const row& added : {row{"127.0.0.1:7", kOk}, row{"[::1]:65535", kOk}, row{"", kBadRequest},
                           row{"127.0.0.1", kBadRequest}, row{"127.0.0.1:0", kBadRequest},
                           row{"127.0.0.1:65536", kBadRequest}, row{"127.0.0.1:-1", kBadRequest},
                           row{"member.example:7", kBadRequest}}) {
    CAPTURE(added.address);
    operators_fixture fixture;
    const http_response response = fixture.Send(
        "POST", "/teaseljunction/v1/members",
        absl::StrCat(R"({"memberId":"5","action":"add","dataCentre":"dc1","address":")",
                     added.address, "\"}"));
    CHECK(response.status == added.status);
    CHECK(fixture.control.proposals == (added.status == kOk ? 1 : 0));
  }
}

}  // namespace teaseljunction
