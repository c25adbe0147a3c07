#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "control/raft_message.h"
#include "control/types.h"

namespace teaseljunction {

struct outgoing_hello {
  std::string address;
  bootstrap_hello hello;
};

/// What a member without a group does next.
struct bootstrap_output {
  /// Set when the member agreed to a list of initial voters. It must be durable before the hellos
  /// are sent.
  bool agreed = false;
  /// Set when the group starts with `hard_state.initial_voters`.
  bool start = false;
  std::vector<outgoing_hello> hellos;
};

/// Agreement of the members of a new group on its initial voters, without I/O. The rule is
/// described at `control_member`. Not thread-safe.
class bootstrap {
 public:
  /// `peers` are the addresses of all initial voters, `address` among them. Without peers the
  /// member only waits to be added to a group.
  bootstrap(std::string address, std::string data_centre, std::vector<std::string> peers);

  /// Handles a hello and updates `state`, which belongs to a member without a group.
  bootstrap_output Step(const bootstrap_hello& hello, hard_state& state, absl::Time now);

  /// Sends hellos that are due. To be called at `NextTick()` or later.
  bootstrap_output Tick(hard_state& state, absl::Time now);
  absl::Time NextTick() const { return next_hello_; }

  /// The hello of this member, to answer a request.
  bootstrap_hello Hello(const hard_state& state) const;

 private:
  struct known_peer {
    bootstrap_hello hello;
    absl::Time heard;
  };

  void Agree(hard_state& state, absl::Time now, bootstrap_output& output);
  bool MayStart(const hard_state& state) const;
  void SendHellos(const hard_state& state, bool request, bootstrap_output& output) const;

  std::string address_;
  std::string data_centre_;
  std::vector<std::string> peers_;
  std::map<std::string, known_peer> known_;
  // A listed peer belongs to a group, so that no second one may be started.
  bool group_exists_ = false;
  absl::Time next_hello_ = absl::InfinitePast();
};

/// Returns the id of the group that starts with these voters; never 0.
uint64_t GroupId(const group_configuration& initial_voters);

/// Returns the snapshot that a new group starts from. It stands for a first record that holds the
/// configuration, so that a learner that starts without records gets the configuration with it.
log_snapshot InitialSnapshot(const group_configuration& initial_voters);

}  // namespace teaseljunction
