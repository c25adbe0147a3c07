#include <utility>

#include "control/codec.h"
#include "control/internal/wire.h"

namespace teaseljunction {

namespace wire_control = wire::control;

void WriteConfiguration(const group_configuration& configuration,
                        capnp::List<wire_control::GroupMember>::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) {
    out[i].setMemberId(configuration[i].member_id);
    out[i].setAddress(ToText(configuration[i].address));
    out[i].setDataCentre(ToText(configuration[i].data_centre));
    out[i].setVoter(configuration[i].voter);
  }
}

group_configuration ReadConfiguration(capnp::List<wire_control::GroupMember>::Reader in) {
  group_configuration configuration;
  for (const auto member : in) {
    configuration.push_back({member.getMemberId(), FromText(member.getAddress()),
                             FromText(member.getDataCentre()), member.getVoter()});
  }
  return configuration;
}

namespace {

unsigned Size(const group_configuration& configuration) {
  return static_cast<unsigned>(configuration.size());
}

void WriteRecords(const std::vector<log_record>& records,
                  capnp::List<wire_control::Record>::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) {
    const log_record& record = records[i];
    out[i].setIndex(record.index);
    out[i].setTerm(record.term);
    out[i].setTimeNanos(ToNanos(record.time));
    out[i].setKind(static_cast<uint8_t>(record.kind));
    out[i].setData(ToData(record.data));
    WriteConfiguration(record.configuration, out[i].initConfiguration(Size(record.configuration)));
  }
}

std::vector<log_record> ReadRecords(capnp::List<wire_control::Record>::Reader in) {
  std::vector<log_record> records;
  records.reserve(in.size());
  for (const auto source : in) {
    log_record record;
    record.index = source.getIndex();
    record.term = source.getTerm();
    record.time = FromNanos(source.getTimeNanos());
    record.kind = static_cast<record_kind>(source.getKind());
    record.data = FromData(source.getData());
    record.configuration = ReadConfiguration(source.getConfiguration());
    records.push_back(std::move(record));
  }
  return records;
}

void WriteSnapshot(const log_snapshot& snapshot, wire_control::Snapshot::Builder out) {
  out.setIndex(snapshot.index);
  out.setTerm(snapshot.term);
  out.setTimeNanos(ToNanos(snapshot.time));
  WriteConfiguration(snapshot.configuration, out.initConfiguration(Size(snapshot.configuration)));
  if (snapshot.data) out.setData(ToData(*snapshot.data));
}

log_snapshot ReadSnapshot(wire_control::Snapshot::Reader in) {
  log_snapshot snapshot;
  snapshot.index = in.getIndex();
  snapshot.term = in.getTerm();
  snapshot.time = FromNanos(in.getTimeNanos());
  snapshot.configuration = ReadConfiguration(in.getConfiguration());
  snapshot.data = std::make_shared<const std::string>(FromData(in.getData()));
  return snapshot;
}

void WriteState(const hard_state& state, wire_control::HardState::Builder out) {
  out.setMemberId(state.member_id);
  out.setGroupId(state.group_id);
  out.setTerm(state.term);
  out.setVote(state.vote);
  WriteConfiguration(state.initial_voters, out.initInitialVoters(Size(state.initial_voters)));
}

hard_state ReadState(wire_control::HardState::Reader in) {
  return {in.getMemberId(), in.getGroupId(), in.getTerm(), in.getVote(),
          ReadConfiguration(in.getInitialVoters())};
}

result<control_message> ReadRaft(wire_control::RaftMessage::Reader in) {
  if (in.getKind() > static_cast<uint8_t>(raft_message_kind::kSnapshot)) {
    return Fail(error_kind::kMalformedRequest, "Unknown kind of message.");
  }
  raft_message message;
  message.kind = static_cast<raft_message_kind>(in.getKind());
  message.group_id = in.getGroupId();
  message.from = in.getFrom();
  message.to = in.getTo();
  message.from_address = FromText(in.getFromAddress());
  message.term = in.getTerm();
  message.log_index = in.getLogIndex();
  message.log_term = in.getLogTerm();
  message.commit_index = in.getCommitIndex();
  message.accepted = in.getAccepted();
  message.reject_hint = in.getHint();
  message.send_time = FromNanos(in.getSentNanos());
  message.records = ReadRecords(in.getRecords());
  if (in.hasSnapshot()) message.snapshot = ReadSnapshot(in.getSnapshot());
  return control_message(std::move(message));
}

result<control_message> ReadHello(wire_control::Hello::Reader in) {
  bootstrap_hello hello;
  hello.address = FromText(in.getAddress());
  hello.data_centre = FromText(in.getDataCentre());
  hello.member_id = in.getMemberId();
  hello.group_id = in.getGroupId();
  hello.initial_voters = ReadConfiguration(in.getInitialVoters());
  hello.request = in.getRequest();
  return control_message(std::move(hello));
}

}  // namespace

std::string EncodeMessage(const raft_message& message) {
  capnp::MallocMessageBuilder builder;
  auto out = builder.initRoot<wire_control::Message>().initRaft();
  out.setKind(static_cast<uint8_t>(message.kind));
  out.setGroupId(message.group_id);
  out.setFrom(message.from);
  out.setTo(message.to);
  out.setFromAddress(ToText(message.from_address));
  out.setTerm(message.term);
  out.setLogIndex(message.log_index);
  out.setLogTerm(message.log_term);
  out.setCommitIndex(message.commit_index);
  out.setAccepted(message.accepted);
  out.setHint(message.reject_hint);
  out.setSentNanos(ToNanos(message.send_time));
  WriteRecords(message.records, out.initRecords(static_cast<unsigned>(message.records.size())));
  if (message.snapshot) WriteSnapshot(*message.snapshot, out.initSnapshot());
  return Flatten(builder);
}

std::string EncodeMessage(const bootstrap_hello& hello) {
  capnp::MallocMessageBuilder builder;
  auto out = builder.initRoot<wire_control::Message>().initHello();
  out.setAddress(ToText(hello.address));
  out.setDataCentre(ToText(hello.data_centre));
  out.setMemberId(hello.member_id);
  out.setGroupId(hello.group_id);
  out.setRequest(hello.request);
  WriteConfiguration(hello.initial_voters, out.initInitialVoters(Size(hello.initial_voters)));
  return Flatten(builder);
}

result<control_message> DecodeMessage(absl::string_view bytes) {
  using message = wire_control::Message;
  return ReadMessage<message, control_message>(
      bytes, [](message::Reader in) -> result<control_message> {
        if (in.isRaft()) return ReadRaft(in.getRaft());
        if (in.isHello()) return ReadHello(in.getHello());
        return Fail(error_kind::kMalformedRequest, "Unknown kind of message.");
      });
}

std::string EncodeFrame(const journal_frame& frame) {
  capnp::MallocMessageBuilder builder;
  auto out = builder.initRoot<wire_control::JournalFrame>();
  if (frame.state) WriteState(*frame.state, out.initHardState());
  out.setBase(frame.base);
  out.setBaseIndex(frame.base_index);
  out.setBaseTerm(frame.base_term);
  out.setDurableBytes(frame.durable_bytes);
  out.setWriterId(frame.writer_id);
  WriteRecords(frame.records, out.initRecords(static_cast<unsigned>(frame.records.size())));
  return Flatten(builder);
}

result<journal_frame> DecodeFrame(absl::string_view bytes) {
  using wire_frame = wire_control::JournalFrame;
  return ReadMessage<wire_frame, journal_frame>(bytes,
                                                [](wire_frame::Reader in) -> result<journal_frame> {
                                                  journal_frame frame;
                                                  if (in.hasHardState())
                                                    frame.state = ReadState(in.getHardState());
                                                  frame.base = in.getBase();
                                                  frame.base_index = in.getBaseIndex();
                                                  frame.base_term = in.getBaseTerm();
                                                  frame.records = ReadRecords(in.getRecords());
                                                  frame.durable_bytes = in.getDurableBytes();
                                                  frame.writer_id = in.getWriterId();
                                                  return frame;
                                                });
}

std::string EncodeSnapshot(const log_snapshot& snapshot) {
  capnp::MallocMessageBuilder builder;
  WriteSnapshot(snapshot, builder.initRoot<wire_control::Snapshot>());
  return Flatten(builder);
}

result<log_snapshot> DecodeSnapshot(absl::string_view bytes) {
  using wire_snapshot = wire_control::Snapshot;
  return ReadMessage<wire_snapshot, log_snapshot>(
      bytes, [](wire_snapshot::Reader in) -> result<log_snapshot> { return ReadSnapshot(in); });
}

}  // namespace teaseljunction
