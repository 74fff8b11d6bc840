#include "masticdrift/http/detail/RequestMeter.h"

#include <restinio/chunked_input_info.hpp>

namespace masticdrift::http::detail {

namespace {

/// A body is copied once for the handler, and a growing buffer is at most twice as large as its
/// content.
constexpr std::size_t CopiesOfBody = 2;
/// The vector of records is at most twice as large as its content, and the old one exists beside
/// the new one while it grows.
constexpr std::size_t BytesPerChunk = 3 * sizeof(restinio::chunk_info_t);
/// Header fields are kept as strings of their own.
constexpr std::size_t CopiesOfHeader = 2;

RequestMeter &meterOf(http_parser *Parser) { return *static_cast<RequestMeter *>(Parser->data); }

} // namespace

RequestMeter::RequestMeter() {
  http_parser_init(&Parser_, HTTP_REQUEST);
  Parser_.data = this;
}

int RequestMeter::onMessageBegin(http_parser *Parser) {
  meterOf(Parser).WithinRequest_ = true;
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
  meterOf(Parser).WithinRequest_ = false;
  return 0;
}

void RequestMeter::consume(std::string_view Bytes) {
  static const http_parser_settings Callbacks = [] {
    http_parser_settings Settings;
    http_parser_settings_init(&Settings);
    Settings.on_message_begin = &onMessageBegin;
    Settings.on_body = &onBody;
    Settings.on_chunk_header = &onChunk;
    Settings.on_message_complete = &onMessageComplete;
    return Settings;
  }();
  const std::size_t BodyBefore = BodyBytes_;
  // RESTinio closes the connection at a syntax error.
  http_parser_execute(&Parser_, &Callbacks, Bytes.data(), Bytes.size());
  HeaderBytes_ += Bytes.size() - (BodyBytes_ - BodyBefore);
}

void RequestMeter::release() {
  if (WithinRequest_)
    return;
  HeaderBytes_ = BodyBytes_ = Chunks_ = 0;
}

std::size_t RequestMeter::heldBytes() const {
  // The framing of chunks is not kept.
  const std::size_t KeptHeader = Chunks_ > 0 ? 0 : CopiesOfHeader * HeaderBytes_;
  return KeptHeader + CopiesOfBody * BodyBytes_ + BytesPerChunk * Chunks_;
}

} // namespace masticdrift::http::detail
