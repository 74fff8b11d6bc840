/// \file
/// Life cycle and JSON responses shared by all stand-in programs.
#ifndef MASTICDRIFT_STANDINS_COMMON_PROGRAM_H
#define MASTICDRIFT_STANDINS_COMMON_PROGRAM_H

#include "standins/common/HttpStub.h"

#include <chrono>
#include <functional>

#include <nlohmann/json.hpp>

namespace masticdrift::standins {

using Json = nlohmann::json;

/// Prints \p Ready as one line, then runs until SIGTERM or SIGINT.
///
/// \returns the exit code of the program.
int runProgram(asio::io_context &Io, const Json &Ready);

/// Asks the kernel to kill this process when its parent thread ends. Call first in main.
void dieWithParent();

/// Runs \p Callback once after \p Delay; immediately when \p Delay is not positive.
void runAfter(asio::io_context &Io, std::chrono::milliseconds Delay,
              std::function<void()> Callback);

/// \returns a response with \p Body as JSON.
Reply jsonReply(const Json &Body, int Status = 200);

/// \returns a response with {"error": Text}.
Reply errorReply(int Status, std::string_view Text);

/// Parses the body as JSON and calls \p Callback with it; an exception from either is reported
/// with status 400.
void withJson(const http::Request &Incoming, const ReplyCallback &Answer,
              const std::function<void(const Json &)> &Callback);

/// \returns a handler that serves POST /control with \p Control, whose result is the response, and
/// GET /evidence with \p Evidence, and passes all other requests to \p NextHandler.
StubHandler withControlRoutes(std::function<Json(const Json &)> Control,
                              std::function<Json()> Evidence, StubHandler NextHandler);

/// Assigns member \p Name of \p Body to \p Target if it exists.
template <typename T> void assignIfPresent(const Json &Body, const char *Name, T &Target) {
  if (const auto Found = Body.find(Name); Found != Body.end())
    Target = Found->get<T>();
}

} // namespace masticdrift::standins

#endif // MASTICDRIFT_STANDINS_COMMON_PROGRAM_H
