/// \file
/// Measures the memory that a server holds for the requests of one connection.
#ifndef MASTICDRIFT_HTTP_DETAIL_REQUESTMETER_H
#define MASTICDRIFT_HTTP_DETAIL_REQUESTMETER_H

#include <cstddef>
#include <string_view>

#include <http_parser.h>

namespace masticdrift::http::detail {

/// Follows the bytes of a connection with the parser that RESTinio uses as well.
///
/// RESTinio keeps the target, the fields of the header and of the trailing part, the body and a
/// record for each chunk until the request has been answered.
class RequestMeter {
public:
  /// \param ServedRequestBytes what a request takes beside its content while it is served.
  explicit RequestMeter(std::size_t ServedRequestBytes = 0);
  RequestMeter(const RequestMeter &) = delete;
  RequestMeter &operator=(const RequestMeter &) = delete;

  /// Takes the next bytes that were received.
  void consume(std::string_view Bytes);

  /// Forgets the requests that have arrived whole, which have been answered by now.
  void release();

  /// \returns the memory held for the requests since the last release(), in bytes.
  std::size_t heldBytes() const;

  /// \returns true while a request has begun and not ended.
  bool isWithinRequest() const { return WithinRequest_; }

  /// \returns true when a request has arrived whole since the last release().
  bool hasWholeRequest() const { return AnyComplete_; }

  /// \returns true after a syntax error. Nothing is measured from then on, and RESTinio closes the
  /// connection when it comes to the error.
  bool hasFailed() const { return Failed_; }

private:
  static int onMessageBegin(http_parser *Parser);
  static int onTarget(http_parser *Parser, const char *Data, std::size_t Size);
  static int onFieldName(http_parser *Parser, const char *Data, std::size_t Size);
  static int onFieldValue(http_parser *Parser, const char *Data, std::size_t Size);
  static int onBody(http_parser *Parser, const char *Data, std::size_t Size);
  static int onChunk(http_parser *Parser);
  static int onMessageComplete(http_parser *Parser);
  static const http_parser_settings &callbacks();

  const std::size_t ServedRequestBytes_;
  http_parser Parser_{};
  bool WithinRequest_ = false;
  bool Failed_ = false;
  bool WithinName_ = false;   ///< the last callback was for a part of a field's name
  std::size_t TextBytes_ = 0; ///< of the target and of the names and values of fields
  std::size_t Fields_ = 0;
  std::size_t BodyBytes_ = 0;
  std::size_t Chunks_ = 0;
  bool AnyComplete_ = false; ///< a request has arrived whole and is served
};

} // namespace masticdrift::http::detail

#endif // MASTICDRIFT_HTTP_DETAIL_REQUESTMETER_H
