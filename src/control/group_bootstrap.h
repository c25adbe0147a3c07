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

/// A hello and the address that it is sent to.
struct outgoing_hello {
  std::string address;
  bootstrap_hello hello;
};

/// The actions that a step of the bootstrap requires. `hellos` are sent last.
struct bootstrap_output {
  /// True when this step set `hard_state.initial_voters`. The state must be durable before the
  /// hellos are sent.
  bool voters_agreed = false;
  /// True when the member must start the group with `hard_state.initial_voters`.
  bool start_group = false;
  std::vector<outgoing_hello> hellos;
};

/// Protocol in which the members of a new group agree on its initial voters; see `control_member`.
/// Performs no I/O. Not thread-safe.
class group_bootstrap {
 public:
  /// `peers` are the addresses of all initial voters, `address` included. If it is empty, the
  /// member only waits to be added to an existing group.
  group_bootstrap(std::string address, std::string data_centre, std::vector<std::string> peers);

  /// Handles a hello and updates `state`. Must be called only while the member has no group.
  bootstrap_output Step(const bootstrap_hello& hello, hard_state& state, absl::Time now);

  /// Returns the hellos that are due. Must be called at `NextTick()` or later; earlier calls have
  /// no effect.
  bootstrap_output Tick(hard_state& state, absl::Time now);
  absl::Time NextTick() const { return next_hello_; }

  /// Returns the hello that describes this member.
  bootstrap_hello OwnHello(const hard_state& state) const;

 private:
  struct received_hello {
    bootstrap_hello hello;
    absl::Time receive_time;
  };

  void AgreeOnVoters(hard_state& state, absl::Time now, bootstrap_output& output);
  bool CanStartGroup(const hard_state& state) const;
  void AddHellos(const hard_state& state, bool request, bootstrap_output& output) const;

  std::string address_;
  std::string data_centre_;
  std::vector<std::string> peers_;
  std::map<std::string, received_hello> last_hellos_;
  // True once a listed peer has reported a group; this member then starts no second one.
  bool peer_has_group_ = false;
  absl::Time next_hello_ = absl::InfinitePast();
};

/// Returns the id of the group that starts with these voters, derived from their ids; never 0.
uint64_t GroupId(const group_configuration& initial_voters);

/// Returns the snapshot that a new group starts from. It takes the place of a first record with the
/// configuration, so that a learner with an empty log receives the configuration in the snapshot.
log_snapshot InitialSnapshot(const group_configuration& initial_voters);

}  // namespace teaseljunction
