/// \file
/// HTTP messages, independent of the types of any HTTP library.
#ifndef MASTICDRIFT_HTTP_MESSAGE_H
#define MASTICDRIFT_HTTP_MESSAGE_H

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace masticdrift::http {

/// Header fields, each with its name and value.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// A request as received by the server.
struct Request {
  std::string Method_;
  std::string Path_;  ///< path without the query
  std::string Query_; ///< text after '?', may be empty
  std::string Body_;
  Headers Headers_;
};

/// A response, sent by the server or received by the client.
struct Response {
  int Status_ = 200;
  std::string Body_;
  std::string ContentType_ = "application/json";
  Headers Headers_;
  bool Close_ = false; ///< the server closes the connection after this response
};

/// \returns the value of the first header \p Name (case-insensitive), or an empty view.
std::string_view findHeader(const Headers &HeaderList, std::string_view Name);

/// \returns the percent-decoded value of the query parameter \p Name, or an empty string.
std::string queryValue(std::string_view Query, std::string_view Name);

/// \returns \p Text as the value of a query parameter: '%' and two hexadecimal digits stand for
/// each byte that is neither unreserved (RFC 3986) nor '/'.
std::string percentEncode(std::string_view Text);

/// Splits a path at '/'.
///
/// \returns the percent-decoded segments without the empty ones.
std::vector<std::string> pathSegments(std::string_view Path);

} // namespace masticdrift::http

#endif // MASTICDRIFT_HTTP_MESSAGE_H
