#include "manifest/manifest_codec.h"

#include <capnp/compat/json.h>
#include <capnp/message.h>
#include <kj/exception.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "common/digest.h"
#include "manifest.capnp.h"
#include "manifest/internal/json_schema_check.h"
#include "manifest/internal/json_syntax_check.h"
#include "manifest/internal/manifest_validation.h"

namespace teaseljunction {
namespace {

constexpr absl::string_view kReactive = "reactive";
constexpr absl::string_view kPlanned = "planned";

std::string ToString(capnp::Text::Reader text) { return {text.begin(), text.size()}; }

client_account ReadAccount(schema::ClientAccount::Reader reader) {
  client_account account;
  account.name = ToString(reader.getName());
  account.rate = reader.getRate();
  account.burst = reader.getBurst();
  for (auto digest : reader.getKeyDigests()) account.key_digests.push_back(ToString(digest));
  return account;
}

service ReadService(schema::Service::Reader reader) {
  service decoded;
  decoded.name = ToString(reader.getName());
  decoded.max_concurrency = reader.getMaxConcurrency();
  decoded.retry_ratio = reader.getRetryRatio();
  return decoded;
}

route ReadRoute(schema::Route::Reader reader) {
  route decoded;
  decoded.name = ToString(reader.getName());
  decoded.method = ToString(reader.getMethod());
  decoded.path = ToString(reader.getPath());
  decoded.service = ToString(reader.getService());
  decoded.priority = static_cast<request_priority>(reader.getPriority());
  decoded.idempotent = reader.getIdempotent();
  decoded.open = reader.getOpen();
  decoded.timeout = absl::Milliseconds(reader.getTimeoutMs());
  decoded.max_attempts = reader.getMaxAttempts();
  return decoded;
}

manifest ReadManifest(schema::Manifest::Reader reader) {
  manifest decoded;
  decoded.version = reader.getVersion();
  for (auto account : reader.getClientAccounts()) {
    decoded.client_accounts.push_back(ReadAccount(account));
  }
  for (auto entry : reader.getServices()) decoded.services.push_back(ReadService(entry));
  for (auto entry : reader.getRoutes()) decoded.routes.push_back(ReadRoute(entry));
  if (ToString(reader.getOverloadControl()) == kPlanned) {
    decoded.overload_control = overload_control_mode::kPlanned;
  }
  return decoded;
}

void WriteAccount(const client_account& account, schema::ClientAccount::Builder builder) {
  builder.setName(account.name.c_str());
  builder.setRate(account.rate);
  builder.setBurst(account.burst);
  auto digests = builder.initKeyDigests(account.key_digests.size());
  for (size_t i = 0; i < account.key_digests.size(); ++i) {
    digests.set(i, account.key_digests[i].c_str());
  }
}

void WriteRoute(const route& source, schema::Route::Builder builder) {
  builder.setName(source.name.c_str());
  builder.setMethod(source.method.c_str());
  builder.setPath(source.path.c_str());
  builder.setService(source.service.c_str());
  builder.setPriority(static_cast<schema::Priority>(source.priority));
  builder.setIdempotent(source.idempotent);
  builder.setOpen(source.open);
  builder.setTimeoutMs(absl::ToInt64Milliseconds(source.timeout));
  builder.setMaxAttempts(source.max_attempts);
}

void WriteManifest(const manifest& source, schema::Manifest::Builder builder) {
  builder.setVersion(source.version);
  auto accounts = builder.initClientAccounts(source.client_accounts.size());
  for (size_t i = 0; i < source.client_accounts.size(); ++i) {
    WriteAccount(source.client_accounts[i], accounts[i]);
  }
  auto services = builder.initServices(source.services.size());
  for (size_t i = 0; i < source.services.size(); ++i) {
    services[i].setName(source.services[i].name.c_str());
    services[i].setMaxConcurrency(source.services[i].max_concurrency);
    services[i].setRetryRatio(source.services[i].retry_ratio);
  }
  auto routes = builder.initRoutes(source.routes.size());
  for (size_t i = 0; i < source.routes.size(); ++i) WriteRoute(source.routes[i], routes[i]);
  // The default is not written, so that daemons that do not know the field accept the manifest.
  if (source.overload_control == overload_control_mode::kPlanned) {
    builder.setOverloadControl(std::string(kPlanned).c_str());
  }
}

/// Returns the message for an unknown mode, or nothing.
absl::optional<std::string> FindOverloadControlError(schema::Manifest::Reader reader) {
  const std::string mode = ToString(reader.getOverloadControl());
  if (!reader.hasOverloadControl() || mode == kReactive || mode == kPlanned) return absl::nullopt;
  return absl::StrCat("overloadControl: must be \"", kReactive, "\" or \"", kPlanned, "\"");
}

// Returns the message of the first failed check; `decoded` is then unspecified. Throws
// kj::Exception when Cap'n Proto cannot decode the JSON.
absl::optional<std::string> DecodeAndValidate(absl::string_view json, manifest& decoded) {
  capnp::JsonCodec codec;
  codec.setRejectUnknownFields(true);
  capnp::MallocMessageBuilder json_message;
  auto json_value = json_message.initRoot<capnp::JsonValue>();
  codec.decodeRaw(kj::arrayPtr(json.data(), json.size()), json_value);
  const auto type = capnp::Schema::from<schema::Manifest>();
  if (auto schema_error = FindJsonSchemaError(json_value.asReader(), type)) return schema_error;

  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<schema::Manifest>();
  codec.decode(json_value.asReader(), capnp::DynamicStruct::Builder(builder));
  if (auto mode_error = FindOverloadControlError(builder.asReader())) return mode_error;
  decoded = ReadManifest(builder.asReader());
  return FindManifestError(decoded);
}

}  // namespace

result<manifest> DecodeManifest(absl::string_view json) {
  if (json.size() > kMaxManifestBytes) {
    return Fail(error_kind::kManifestInvalid,
                absl::StrCat("manifest: the text has ", json.size(), " bytes; the limit is ",
                             kMaxManifestBytes));
  }
  if (auto syntax_error = FindJsonSyntaxError(json)) {
    return Fail(error_kind::kManifestInvalid, *syntax_error);
  }
  manifest decoded;
  absl::optional<std::string> validation_error;
  const auto codec_exception =
      kj::runCatchingExceptions([&] { validation_error = DecodeAndValidate(json, decoded); });
  KJ_IF_MAYBE (exception, codec_exception) {
    const kj::StringPtr reason = exception->getDescription();
    return Fail(error_kind::kManifestInvalid, absl::StrCat("manifest: ", reason.cStr()));
  }
  if (validation_error.has_value()) return Fail(error_kind::kManifestInvalid, *validation_error);
  // The canonical text contains every field, so it can be longer than the input.
  const size_t canonical_size = EncodeManifest(decoded).size();
  if (canonical_size > kMaxManifestBytes) {
    return Fail(error_kind::kManifestInvalid,
                absl::StrCat("manifest: the canonical text has ", canonical_size,
                             " bytes; the limit is ", kMaxManifestBytes));
  }
  return decoded;
}

std::string EncodeManifest(const manifest& source) {
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<schema::Manifest>();
  WriteManifest(source, builder);
  capnp::JsonCodec codec;
  capnp::MallocMessageBuilder json_message;
  auto json_value = json_message.initRoot<capnp::JsonValue>();
  codec.encode(builder.asReader(), json_value);
  // The codec encodes 64-bit integers as strings; the manifest format has the version as a number.
  for (auto field : json_value.getObject()) {
    if (field.getName() == "version") field.getValue().setNumber(source.version);
  }
  const kj::String text = codec.encodeRaw(json_value);
  return {text.begin(), text.size()};
}

std::string ManifestDigest(const manifest& source) { return Sha256Hex(EncodeManifest(source)); }

}  // namespace teaseljunction
