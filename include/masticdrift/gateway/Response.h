/// \file
/// Answers that all HTTP interfaces share.
#ifndef MASTICDRIFT_GATEWAY_RESPONSE_H
#define MASTICDRIFT_GATEWAY_RESPONSE_H

#include "masticdrift/core/Error.h"
#include "masticdrift/http/Message.h"

#include <string>
#include <string_view>

namespace masticdrift::gateway {

/// \returns the answer of an error kind, with the headers Masticdrift-Outcome and, when retrying
/// can help, Retry-After.
http::Response errorResponse(const core::Failure &Error, std::string_view RequestId = {});

/// \returns \p Json with status 200.
http::Response jsonResponse(std::string Json, int Status = 200);

/// \returns the token of "Authorization: Bearer TOKEN", empty when there is none.
std::string_view bearerToken(const http::Request &Request);

/// \returns a new request id of 128 random bits.
std::string newRequestId();

} // namespace masticdrift::gateway

#endif // MASTICDRIFT_GATEWAY_RESPONSE_H
