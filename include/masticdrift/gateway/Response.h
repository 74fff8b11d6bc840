/// \file
/// Responses and request helpers shared by the HTTP interfaces.
#ifndef MASTICDRIFT_GATEWAY_RESPONSE_H
#define MASTICDRIFT_GATEWAY_RESPONSE_H

#include "masticdrift/core/Error.h"
#include "masticdrift/http/Message.h"

#include <string>
#include <string_view>

namespace masticdrift::gateway {

/// \returns the response for an error, with the header Masticdrift-Outcome and, if a retry can
/// succeed, Retry-After.
http::Response errorResponse(const core::Failure &Error, std::string_view RequestId = {});

/// \returns a response with the body \p Json and \p Status, 200 by default.
http::Response jsonResponse(std::string Json, int Status = 200);

/// \returns the token of "Authorization: Bearer TOKEN", empty if there is none.
std::string_view bearerToken(const http::Request &Request);

/// \returns a new request id of 128 random bits.
std::string newRequestId();

} // namespace masticdrift::gateway

#endif // MASTICDRIFT_GATEWAY_RESPONSE_H
