#include "masticdrift/http/detail/RequestMeter.h"

#include <string>
#include <utility>

#include <restinio/chunked_input_info.hpp>
#include <restinio/http_headers.hpp>

namespace masticdrift::http::detail {

namespace {

/// A growing buffer is at most twice as large as its content, and the old one exists beside the new
/// one while it grows.
constexpr std::size_t GrowthFactor = 3;
/// RESTinio's strings and those of the request that the handler gets.
constexpr std::size_t CopiesOfText = 4;
/// RESTinio keeps the fields in a vector, and so does the request that the handler gets. Their
/// names and values are strings of their own.
constexpr std::size_t BytesPerAllocation = 16;
constexpr std::size_t BytesPerField = GrowthFactor * (sizeof(restinio::http_header_field_t) +
                                                      sizeof(std::pair<std::string, std::string>)) +
                                      4 * BytesPerAllocation;
constexpr std::size_t BytesPerChunk = GrowthFactor * sizeof(restinio::chunk_info_t);
/// While a request is served, RESTinio keeps the body, in a buffer of up to twice its size. A job
/// is held once more for the store and once for the call to it or to the leader, each time in a
/// packed form that takes up to 1.9 times the bytes of its JSON.
constexpr std::size_t CopiesOfServedBody = 6;

RequestMeter &meterOf(http_parser *Parser) { return *static_cast<RequestMeter *>(Parser->data); }

} // namespace

RequestMeter::RequestMeter(std::size_t ServedRequestBytes)
    : ServedRequestBytes_(ServedRequestBytes) {
  http_parser_init(&Parser_, HTTP_REQUEST);
  Parser_.data = this;
}

int RequestMeter::onMessageBegin(http_parser *Parser) {
  meterOf(Parser).WithinRequest_ = true;
  return 0;
}

int RequestMeter::onTarget(http_parser *Parser, const char *, std::size_t Size) {
  meterOf(Parser).TextBytes_ += Size;
  return 0;
}

int RequestMeter::onFieldName(http_parser *Parser, const char *, std::size_t Size) {
  RequestMeter &Meter = meterOf(Parser);
  Meter.TextBytes_ += Size;
  Meter.WithinName_ = true;
  return 0;
}

int RequestMeter::onFieldValue(http_parser *Parser, const char *, std::size_t Size) {
  RequestMeter &Meter = meterOf(Parser);
  Meter.TextBytes_ += Size;
  if (std::exchange(Meter.WithinName_, false))
    ++Meter.Fields_;
  return 0;
}

int RequestMeter::onBody(http_parser *Parser, const char *, std::size_t Size) {
  meterOf(Parser).BodyBytes_ += Size;
  return 0;
}

int RequestMeter::onChunk(http_parser *Parser) {
  ++meterOf(Parser).Chunks_;
  return 0;
}

int RequestMeter::onMessageComplete(http_parser *Parser) {
  RequestMeter &Meter = meterOf(Parser);
  Meter.WithinRequest_ = false;
  Meter.AnyComplete_ = true;
  http_parser_pause(Parser, 1);
  return 0;
}

const http_parser_settings &RequestMeter::callbacks() {
  static const http_parser_settings Callbacks = [] {
    http_parser_settings Settings;
    http_parser_settings_init(&Settings);
    Settings.on_message_begin = &onMessageBegin;
    Settings.on_url = &onTarget;
    Settings.on_header_field = &onFieldName;
    Settings.on_header_value = &onFieldValue;
    Settings.on_body = &onBody;
    Settings.on_chunk_header = &onChunk;
    Settings.on_message_complete = &onMessageComplete;
    return Settings;
  }();
  return Callbacks;
}

void RequestMeter::consume(std::string_view Bytes) {
  while (!Bytes.empty() && !Failed_) {
    const std::size_t Parsed =
        http_parser_execute(&Parser_, &callbacks(), Bytes.data(), Bytes.size());
    const http_errno Error = HTTP_PARSER_ERRNO(&Parser_);
    Failed_ = Error != HPE_OK && Error != HPE_PAUSED;
    if (Error != HPE_PAUSED)
      return;
    // Like RESTinio, which begins each request with a parser in its initial state: otherwise the
    // two would differ after a request that asks for an upgrade.
    http_parser_init(&Parser_, HTTP_REQUEST);
    Bytes.remove_prefix(Parsed);
  }
}

void RequestMeter::release() {
  AnyComplete_ = false;
  // The first part of the next request has been counted together with those that have arrived.
  if (!WithinRequest_)
    TextBytes_ = Fields_ = BodyBytes_ = Chunks_ = 0;
}

std::size_t RequestMeter::heldBytes() const {
  return CopiesOfText * TextBytes_ + BytesPerField * Fields_ + BytesPerChunk * Chunks_ +
         (AnyComplete_ ? CopiesOfServedBody : GrowthFactor) * BodyBytes_ +
         (AnyComplete_ ? ServedRequestBytes_ : 0);
}

} // namespace masticdrift::http::detail
