#include "Api.h"

#include "masticdrift/config/Key.h"

#include <cctype>
#include <iostream>
#include <utility>

#include <nlohmann/json.hpp>

namespace masticdrift::ctl {

namespace {

using nlohmann::json;

std::string field(const json &Object, std::string_view Name) {
  const auto Member = Object.is_object() ? Object.find(Name) : Object.end();
  return Object.is_object() && Member != Object.end() && Member->is_string()
             ? Member->get<std::string>()
             : "";
}

Exit printFailure(const http::Response &Response, bool ChangesState) {
  const json Body = json::parse(Response.Body_, nullptr, false);
  const std::string Id = field(Body, "id");
  const std::string Message = field(Body, "message");
  const std::string Hint = field(Body, "hint");
  std::string RunNote = field(Body, "ran");
  if (RunNote == "not_run")
    RunNote = " (not run)";
  else if (RunNote == "may_have_run")
    RunNote = " (may have run)";
  else
    RunNote.clear();
  std::cerr << "masticdriftctl: " << (Id.empty() ? std::to_string(Response.Status_) : Id) << ": "
            << (Message.empty() ? Response.Body_ : Message) << RunNote << '\n';
  if (!Hint.empty())
    std::cerr << "masticdriftctl: hint: " << Hint << '\n';
  if (Id == "MD-601")
    return Exit::Conflict;
  if (ChangesState && field(Body, "ran") == "may_have_run")
    return Exit::Unknown;
  return Exit::Refused;
}

} // namespace

Answer exchange(const Target &Endpoint, std::string Method, std::string PathAndQuery,
                std::string Body, http::Headers Headers, std::chrono::milliseconds Timeout,
                bool ChangesState) {
  std::string Server = Endpoint.Server_;
  while (Server.ends_with('/'))
    Server.pop_back();
  if (!Server.starts_with("http://") && !Server.starts_with("https://"))
    Server = "http://" + Server;
  if (!Endpoint.Key_.empty())
    Headers.emplace_back("Authorization", "Bearer " + Endpoint.Key_);
  http::ClientRequest Request;
  Request.Method_ = std::move(Method);
  Request.Url_ = Server + PathAndQuery;
  Request.Body_ = std::move(Body);
  Request.Headers_ = std::move(Headers);
  Request.Timeout_ = Timeout;
  Request.FreshConnection_ = true;
  http::Client Client;
  http::ClientResult Result = Client.sendAndWait(std::move(Request));
  Answer Reply;
  Reply.Response_ = std::move(Result.Answer_);
  switch (Result.Transfer_) {
  case http::Transfer::NotConnected:
    std::cerr << "masticdriftctl: no connection to " << Server << ": " << Result.Error_
              << " (not run)\n";
    Reply.Exit_ = Exit::Unreachable;
    break;
  case http::Transfer::Truncated:
  case http::Transfer::NoAnswer:
    std::cerr << "masticdriftctl: no complete answer from " << Server << ": " << Result.Error_
              << (ChangesState ? " (may have taken effect)" : "") << '\n';
    Reply.Exit_ = ChangesState ? Exit::Unknown : Exit::Unreachable;
    break;
  case http::Transfer::Complete:
    if (Reply.Response_.Status_ < 200 || Reply.Response_.Status_ > 299)
      Reply.Exit_ = printFailure(Reply.Response_, ChangesState);
    break;
  }
  return Reply;
}

std::string encodeSegment(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Encoded;
  for (const char Character : Text) {
    const auto Byte = static_cast<unsigned char>(Character);
    if (std::isalnum(Byte) != 0 || Character == '-' || Character == '_' || Character == '.' ||
        Character == '~') {
      Encoded += Character;
      continue;
    }
    Encoded += '%';
    Encoded += Digits[Byte >> 4U];
    Encoded += Digits[Byte & 15U];
  }
  return Encoded;
}

std::string randomId() {
  // A key ends in random digits after its id.
  constexpr std::size_t Digits = 32;
  const config::NewKey Key = config::newKey();
  return Key.Text_.substr(Key.KeyId_.size() + 1, Digits);
}

} // namespace masticdrift::ctl
