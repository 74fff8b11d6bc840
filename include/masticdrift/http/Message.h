/// \file
/// Plain HTTP messages, free of any library's types.
#ifndef MASTICDRIFT_HTTP_MESSAGE_H
#define MASTICDRIFT_HTTP_MESSAGE_H

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace masticdrift::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// A request as received by the server.
struct Request {
  std::string Method_;
  std::string Path_;  ///< path without the query
  std::string Query_; ///< text after '?', may be empty
  std::string Body_;
  Headers Headers_;
};

/// An answer, sent by the server or received by the client.
struct Response {
  int Status_ = 200;
  std::string Body_;
  std::string ContentType_ = "application/json";
  Headers Headers_;
  bool Close_ = false; ///< the server closes the connection after this answer
};

/// \returns the value of the first header called \p Name (case does not matter), or an empty view.
std::string_view findHeader(const Headers &HeaderList, std::string_view Name);

/// \returns the decoded value of \p Name in a query string, or an empty string.
std::string queryValue(std::string_view Query, std::string_view Name);

/// Splits a path at '/', skipping empty segments; segments are percent-decoded.
std::vector<std::string> pathSegments(std::string_view Path);

} // namespace masticdrift::http

#endif // MASTICDRIFT_HTTP_MESSAGE_H
