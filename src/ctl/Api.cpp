#include "Api.h"

#include "masticdrift/config/Key.h"

#include <cctype>
#include <iostream>
#include <utility>

#include <nlohmann/json.hpp>

namespace masticdrift::ctl {

namespace {

using nlohmann::json;

std::string field(const json &Of, std::string_view Name) {
  const auto Found = Of.is_object() ? Of.find(Name) : Of.end();
  return Of.is_object() && Found != Of.end() && Found->is_string() ? Found->get<std::string>() : "";
}

Exit report(const http::Response &Response, bool Writes) {
  const json Body = json::parse(Response.Body_, nullptr, false);
  const std::string Id = field(Body, "id");
  const std::string Message = field(Body, "message");
  const std::string Hint = field(Body, "hint");
  std::string Ran = field(Body, "ran");
  if (Ran == "not_run")
    Ran = " (not run)";
  else if (Ran == "may_have_run")
    Ran = " (may have run)";
  else
    Ran.clear();
  std::cerr << "masticdriftctl: " << (Id.empty() ? std::to_string(Response.Status_) : Id) << ": "
            << (Message.empty() ? Response.Body_ : Message) << Ran << '\n';
  if (!Hint.empty())
    std::cerr << "masticdriftctl: hint: " << Hint << '\n';
  if (Id == "MD-601")
    return Exit::Conflict;
  if (Writes && field(Body, "ran") == "may_have_run")
    return Exit::Unknown;
  return Exit::Refused;
}

} // namespace

Answer exchange(const Target &To, std::string Method, std::string PathAndQuery, std::string Body,
                http::Headers Headers, std::chrono::milliseconds Timeout, bool Writes) {
  std::string Server = To.Server_;
  while (Server.ends_with('/'))
    Server.pop_back();
  if (!Server.starts_with("http://") && !Server.starts_with("https://"))
    Server = "http://" + Server;
  if (!To.Key_.empty())
    Headers.emplace_back("Authorization", "Bearer " + To.Key_);
  http::ClientRequest Request;
  Request.Method_ = std::move(Method);
  Request.Url_ = Server + PathAndQuery;
  Request.Body_ = std::move(Body);
  Request.Headers_ = std::move(Headers);
  Request.Timeout_ = Timeout;
  Request.FreshConnection_ = true;
  http::Client Client;
  http::ClientResult Result = Client.sendAndWait(std::move(Request));
  Answer Out;
  Out.Response_ = std::move(Result.Answer_);
  switch (Result.Transfer_) {
  case http::Transfer::NotConnected:
    std::cerr << "masticdriftctl: no connection to " << Server << ": " << Result.Error_
              << " (not run)\n";
    Out.Exit_ = Exit::Unreachable;
    break;
  case http::Transfer::Truncated:
  case http::Transfer::NoAnswer:
    std::cerr << "masticdriftctl: no complete answer from " << Server << ": " << Result.Error_
              << (Writes ? " (may have taken effect)" : "") << '\n';
    Out.Exit_ = Writes ? Exit::Unknown : Exit::Unreachable;
    break;
  case http::Transfer::Complete:
    if (Out.Response_.Status_ < 200 || Out.Response_.Status_ > 299)
      Out.Exit_ = report(Out.Response_, Writes);
    break;
  }
  return Out;
}

std::string encodeSegment(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Out;
  for (const char C : Text) {
    const auto Byte = static_cast<unsigned char>(C);
    if (std::isalnum(Byte) != 0 || C == '-' || C == '_' || C == '.' || C == '~') {
      Out += C;
      continue;
    }
    Out += '%';
    Out += Digits[Byte >> 4U];
    Out += Digits[Byte & 15U];
  }
  return Out;
}

std::string randomId() {
  // The digits after the key id are random.
  constexpr std::size_t Digits = 32;
  const config::NewKey Key = config::newKey();
  return Key.Text_.substr(Key.KeyId_.size() + 1, Digits);
}

} // namespace masticdrift::ctl
