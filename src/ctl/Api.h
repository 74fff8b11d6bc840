/// \file
/// Exchanges with a daemon and their exit codes.
#ifndef MASTICDRIFT_CTL_API_H
#define MASTICDRIFT_CTL_API_H

#include "Exit.h"

#include "masticdrift/http/Client.h"

#include <chrono>
#include <string>
#include <string_view>

namespace masticdrift::ctl {

/// Where and with which key a command talks.
struct Target {
  std::string Server_; ///< base URL
  std::string Key_;    ///< sent as bearer token; never printed
};

struct Answer {
  Exit Exit_ = Exit::Ok;
  http::Response Response_;
};

/// Sends one request on a fresh connection, so that it is sent at most once, and prints failures on
/// standard error.
///
/// \param ChangesState whether the request changes something: a lost answer is then Exit::Unknown,
/// otherwise Exit::Unreachable.
Answer exchange(const Target &Endpoint, std::string Method, std::string PathAndQuery,
                std::string Body, http::Headers Headers, std::chrono::milliseconds Timeout,
                bool ChangesState);

/// \returns \p Text percent-encoded as one path segment or query value.
std::string encodeSegment(std::string_view Text);

/// \returns a random id of 128 bits in hexadecimal digits, for requests that name none.
std::string randomId();

} // namespace masticdrift::ctl

#endif // MASTICDRIFT_CTL_API_H
