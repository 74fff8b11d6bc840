#include "masticdrift/gateway/Response.h"

#include <array>
#include <cstdint>
#include <random>

namespace masticdrift::gateway {

namespace {

std::string_view outcomeName(core::RunState Ran) {
  switch (Ran) {
  case core::RunState::NotRun:
    return "not_run";
  case core::RunState::Ran:
    return "failed";
  case core::RunState::MayHaveRun:
    break;
  }
  return "unknown";
}

} // namespace

http::Response errorResponse(const core::Failure &Error, std::string_view RequestId) {
  const core::ErrorInfo &Info = core::describe(Error.Kind_);
  http::Response Response;
  Response.Status_ = Info.HttpStatus_;
  Response.Body_ = core::errorBody(Error.Kind_, Error.Message_, RequestId);
  Response.Headers_.emplace_back("Masticdrift-Outcome", outcomeName(Info.Ran_));
  if (!RequestId.empty())
    Response.Headers_.emplace_back("Masticdrift-Request-Id", RequestId);
  if (Info.Retry_)
    Response.Headers_.emplace_back("Retry-After", "1");
  return Response;
}

http::Response jsonResponse(std::string Json, int Status) {
  http::Response Response;
  Response.Status_ = Status;
  Response.Body_ = std::move(Json);
  return Response;
}

std::string_view bearerToken(const http::Request &Request) {
  constexpr std::string_view Prefix = "Bearer ";
  const std::string_view Value = http::findHeader(Request.Headers_, "Authorization");
  return Value.starts_with(Prefix) ? Value.substr(Prefix.size()) : std::string_view();
}

std::string newRequestId() {
  thread_local std::mt19937_64 Generator{
      (static_cast<std::uint64_t>(std::random_device{}()) << 32U) ^ std::random_device{}()};
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Id;
  for (int Word = 0; Word < 2; ++Word) {
    std::uint64_t Bits = Generator();
    for (int Digit = 0; Digit < 16; ++Digit, Bits >>= 4U)
      Id += Digits[Bits & 15U];
  }
  return Id;
}

} // namespace masticdrift::gateway
