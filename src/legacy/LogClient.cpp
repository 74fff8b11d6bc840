#include "masticdrift/legacy/LogClient.h"

#include "masticdrift/core/Error.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/core/Pack.h"

#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace masticdrift::legacy {

namespace {

void countBytes(const http::ClientResult &Result) {
  core::count("masticdrift_control_bytes_total", {{"link", "store"}, {"direction", "out"}},
              static_cast<double>(Result.BytesOut_));
  core::count("masticdrift_control_bytes_total", {{"link", "store"}, {"direction", "in"}},
              static_cast<double>(Result.BytesIn_));
}

std::string streamUrl(const LogClientOptions &Options, std::string_view Stream) {
  std::string Url = Options.BaseUrl_;
  Url += "/streams/";
  Url += Stream;
  Url += "/records";
  return Url;
}

/// \returns true when the status means that the record was not stored. Any 5xx status other than
/// 503 may come from a gateway after the service has stored the record.
bool isDefiniteRejection(int Status) { return (Status >= 400 && Status < 500) || Status == 503; }

void completeAppend(const http::ClientResult &Result, const LogClient::AppendCallback &Done) {
  if (Result.Transfer_ == http::Transfer::NotConnected)
    return Done(core::ErrorKind::StoreUnavailable, 0);
  if (Result.Transfer_ != http::Transfer::Complete)
    return Done(core::ErrorKind::AppendUnknown, 0);
  if (isDefiniteRejection(Result.Answer_.Status_))
    return Done(Result.EarlierCopySent_ ? core::ErrorKind::AppendUnknown
                                        : core::ErrorKind::StoreUnavailable,
                0);
  if (Result.Answer_.Status_ < 200 || Result.Answer_.Status_ > 299)
    return Done(core::ErrorKind::AppendUnknown, 0);
  const auto Body = nlohmann::json::parse(Result.Answer_.Body_, nullptr, false);
  if (!Body.is_object() || !Body.contains("offset") || !Body["offset"].is_number_unsigned())
    return Done(core::ErrorKind::AppendUnknown, 0);
  Done({}, Body["offset"].get<std::uint64_t>());
}

/// Converts an array of exactly sizeof...(Elements) elements. MSGPACK_DEFINE_ARRAY and std::tuple
/// accept shorter arrays, but an empty array must not be taken for an empty stream.
template <typename... T> void convertExactArray(const msgpack::object &Packed, T &...Elements) {
  if (Packed.type != msgpack::type::ARRAY || Packed.via.array.size != sizeof...(Elements))
    throw msgpack::type_error();
  const msgpack::object *Element = Packed.via.array.ptr;
  (Element++->convert(Elements), ...);
}

struct PackedRecord {
  LogRecord Record_;
  void msgpack_unpack(const msgpack::object &Packed) {
    convertExactArray(Packed, Record_.Offset_, Record_.Bytes_);
  }
};

struct PackedReadResult {
  std::uint64_t First_ = 0;
  std::uint64_t Next_ = 0;
  std::vector<PackedRecord> Records_;
  void msgpack_unpack(const msgpack::object &Packed) {
    convertExactArray(Packed, First_, Next_, Records_);
  }
};

std::optional<ReadResult> decodeReadResult(std::string_view Body) {
  auto Packed = core::unpack<PackedReadResult>(Body);
  if (!Packed)
    return std::nullopt;
  ReadResult Result;
  Result.First_ = Packed->First_;
  Result.Next_ = Packed->Next_;
  Result.Records_.reserve(Packed->Records_.size());
  for (PackedRecord &Record : Packed->Records_)
    Result.Records_.push_back(std::move(Record.Record_));
  return Result;
}

/// \returns false when the records are out of order or outside [FromOffset, next), which replay
/// can't use.
bool hasValidOffsets(const ReadResult &Read, std::uint64_t FromOffset) {
  std::uint64_t MinOffset = FromOffset;
  for (const LogRecord &Record : Read.Records_) {
    if (Record.Offset_ < MinOffset || Record.Offset_ >= Read.Next_)
      return false;
    MinOffset = Record.Offset_ + 1;
  }
  return true;
}

} // namespace

LogClient::LogClient(http::Client &Http, LogClientOptions Options)
    : Http_(Http), Options_(std::move(Options)) {}

void LogClient::append(std::string_view Stream, std::string Bytes, AppendCallback Done) {
  http::ClientRequest Request;
  Request.Method_ = "POST";
  Request.Url_ = streamUrl(Options_, Stream);
  Request.Body_ = std::move(Bytes);
  Request.Headers_ = {{"Content-Type", "application/octet-stream"}};
  Request.Timeout_ = Options_.AppendTimeout_;
  Http_.send(std::move(Request), [Done = std::move(Done)](const http::ClientResult &Result) {
    countBytes(Result);
    completeAppend(Result, Done);
  });
}

void LogClient::read(std::string_view Stream, std::uint64_t FromOffset, std::uint32_t MaxRecords,
                     ReadCallback Done) {
  http::ClientRequest Request;
  Request.Url_ = streamUrl(Options_, Stream) + "?from=" + std::to_string(FromOffset) +
                 "&max=" + std::to_string(MaxRecords);
  Request.Timeout_ = Options_.ReadTimeout_;
  Http_.send(std::move(Request),
             [Done = std::move(Done), FromOffset](const http::ClientResult &Result) {
               countBytes(Result);
               if (Result.Transfer_ != http::Transfer::Complete || Result.Answer_.Status_ != 200)
                 return Done(core::ErrorKind::StoreUnavailable, {});
               auto Read = decodeReadResult(Result.Answer_.Body_);
               if (!Read || !hasValidOffsets(*Read, FromOffset))
                 return Done(core::ErrorKind::StoreUnavailable, {});
               Done({}, std::move(*Read));
             });
}

} // namespace masticdrift::legacy
