/// \file
/// HTTP requests to a daemon and the exit codes of their results.
#ifndef MASTICDRIFT_CTL_API_H
#define MASTICDRIFT_CTL_API_H

#include "Exit.h"

#include "masticdrift/http/Client.h"

#include <chrono>
#include <string>
#include <string_view>

namespace masticdrift::ctl {

/// The server and the key that a command uses.
struct Target {
  std::string Server_; ///< base URL
  std::string Key_;    ///< sent as a bearer token; never printed
};

/// Response of the daemon and the exit code that follows from it.
struct Answer {
  Exit Exit_ = Exit::Ok;
  http::Response Response_;
};

/// Sends one request on a new connection, so that it is sent at most once, and prints a failure to
/// standard error.
///
/// \param ChangesState whether the request can change state: a lost answer is then Exit::Unknown,
/// otherwise Exit::Unreachable.
Answer exchange(const Target &Endpoint, std::string Method, std::string PathAndQuery,
                std::string Body, http::Headers Headers, std::chrono::milliseconds Timeout,
                bool ChangesState);

/// \returns \p Text percent-encoded as one path segment or query value.
std::string encodeSegment(std::string_view Text);

/// \returns a random 128-bit id in hexadecimal, for requests without an id.
std::string randomId();

} // namespace masticdrift::ctl

#endif // MASTICDRIFT_CTL_API_H
