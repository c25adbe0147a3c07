#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "absl/functional/any_invocable.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "event_loop/event_loop.h"
#include "http/internal/request_reader.h"
#include "http/internal/request_row.h"
#include "http/internal/server_state.h"

namespace teaseljunction {

/// Requests that are given up when the server stops.
struct abandoned_requests {
  int count = 0;
  /// Times at which the first and the last of them had arrived.
  absl::Time first_received_at = absl::InfiniteFuture();
  absl::Time last_received_at = absl::InfinitePast();
};

/// One connection of the server: its socket, the requests that it has received and the answers that
/// wait to be sent. All members are used on the thread of the loop; the object is destroyed there.
class server_connection : public std::enable_shared_from_this<server_connection> {
 public:
  /// What a connection tells its owner.
  struct callbacks {
    /// Called at the end of the turn in which the connection was closed.
    absl::AnyInvocable<void(server_connection&)> on_closed;
    /// Called when the connection waits for memory; `Resume` is expected later.
    absl::AnyInvocable<void(server_connection&)> on_waiting;
  };

  /// Takes over the non-blocking socket `fd`. `read_buffer` is shared by the connections of a loop.
  server_connection(std::shared_ptr<server_state> server, std::shared_ptr<event_loop> loop, int fd,
                    absl::Span<char> read_buffer, callbacks owner);
  ~server_connection();
  server_connection(const server_connection&) = delete;
  server_connection& operator=(const server_connection&) = delete;

  /// Starts reading. The object must be owned by a shared pointer.
  void Start();

  /// Reads and handles what has arrived.
  void ReadInput();

  /// Goes on with a connection that waits for memory, if there is some.
  void Resume();

  /// Reads what has arrived, and no further requests after that.
  void StopReceiving();

  /// Answers all requests without an answer: those that the handler has with kOutcomeUnknown, the
  /// others with kDraining. Later responses of the handler are ignored. Adds the requests that the
  /// handler had to `abandoned`.
  void AnswerPending(abandoned_requests& abandoned);

  /// Called with the response to a request.
  void OnAnswer(uint64_t number, http_response response);

  /// Closes the connection if its client has been silent for too long.
  void CheckTimeout(absl::Time now);

  /// Closes the connection. The client of a request that is not answered counts as disconnected.
  void Close();

 private:
  bool IsReceiving() const { return reader_.IsReceiving() || !input_.empty(); }
  // Returns false while no further input is wanted, because the row is full.
  bool IsReading() const { return input_ended_ || row_.HasRoom(); }
  bool HasPeerClosed() const;
  // Returns how many bytes may be read now; 0 if the connection has to wait for memory.
  size_t ReadableBytes();
  void WaitForMemory();
  // Refuses the incomplete body, because others wait for its memory.
  void GiveUpBody();
  void UpdateMemory();
  // Creates the account's view of this connection, with the weak pointer that its callback needs.
  void AttachMemory();
  // Continues to read in a later turn of the loop.
  void ScheduleRead();
  void OnInput(absl::string_view data);
  // Parses buffered input followed by `data`.
  void Parse(absl::string_view data);
  // Asks for a body that the client sends only after a confirmation, once its turn has come.
  // Returns true if there is something to be sent.
  bool ConfirmBody();
  void AddRequest(received_request request);
  void Refuse(const error& failure);
  void HandleRequests();
  void ScheduleOutput();
  void WriteAnswers();
  void AppendAnswer(row_entry entry);
  void Flush();
  void FinishOutput();
  void UpdateCounters();

  const std::shared_ptr<server_state> server_;
  const std::shared_ptr<event_loop> loop_;
  const int fd_;
  const std::string remote_ip_;
  const absl::Span<char> read_buffer_;
  callbacks owner_;
  std::unique_ptr<descriptor_watch> watch_;
  request_reader reader_;
  request_row row_;
  // Set in `Start`.
  absl::optional<memory_client> memory_;
  // Charge for `input_` and `output_`.
  memory_hold buffer_memory_;
  // Input that has not been parsed.
  std::string input_;
  // Heads and bodies of answers that have not been sent; the first one is sent up to `sent_`.
  std::deque<std::string> output_;
  size_t sent_ = 0;
  absl::Time last_activity_;
  uint64_t requests_ = 0;
  size_t discarded_bytes_ = 0;
  size_t output_bytes_ = 0;
  // True once no further request is accepted; later input is discarded.
  bool input_ended_ = false;
  // True once the last answer is in `output_`.
  bool closing_ = false;
  // True once everything was sent and the end of the client's input is awaited. Closing the socket
  // before would reset the connection, and the client could lose the last answer.
  bool lingering_ = false;
  bool closed_ = false;
  bool read_scheduled_ = false;
  bool waits_for_memory_ = false;
  bool output_scheduled_ = false;
  bool counted_as_receiving_ = false;
  bool counted_as_answering_ = false;
};

}  // namespace teaseljunction
