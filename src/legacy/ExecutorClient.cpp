#include "masticdrift/legacy/ExecutorClient.h"

#include "masticdrift/http/Client.h"

namespace masticdrift::legacy {

namespace {

ExecutorResult classify(const http::ClientResult &HttpResult) {
  switch (HttpResult.Transfer_) {
  case http::Transfer::NotConnected:
    return ExecutorResult::NotConnected;
  case http::Transfer::Truncated:
    return ExecutorResult::Truncated;
  case http::Transfer::NoAnswer:
    return ExecutorResult::NoAnswer;
  case http::Transfer::Complete:
    break;
  }
  if (http::findHeader(HttpResult.Answer_.Headers_, "Masticdrift-Not-Run") == "true")
    return ExecutorResult::Refused;
  return HttpResult.Answer_.Status_ >= 500 ? ExecutorResult::Failed : ExecutorResult::Completed;
}

} // namespace

ExecutorClient::ExecutorClient(int ConnectionsPerExecutor, std::chrono::seconds IdleTimeout,
                               std::chrono::seconds MaxConnectionAge)
    : HttpClient_(
          std::make_unique<http::Client>(ConnectionsPerExecutor, IdleTimeout, MaxConnectionAge)) {}

ExecutorClient::~ExecutorClient() = default;

void ExecutorClient::send(ExecutorRequest Request, std::function<void(ExecutorAnswer)> Done) {
  http::ClientRequest HttpRequest;
  HttpRequest.Method_ = "POST";
  HttpRequest.Url_ = "http://" + Request.Address_ + "/run";
  HttpRequest.Body_ = std::move(Request.Body_);
  HttpRequest.Timeout_ = Request.ResponseTimeout_;
  HttpRequest.FreshConnection_ = !Request.Idempotent_;
  HttpRequest.MaySend_ = std::move(Request.MaySend_);
  HttpRequest.Headers_ = {
      {"Masticdrift-Request-Id", Request.RequestId_},
      {"Masticdrift-Deadline-Ms", std::to_string(Request.ResponseTimeout_.count())}};
  if (!Request.ContentType_.empty())
    HttpRequest.Headers_.emplace_back("Content-Type", Request.ContentType_);
  HttpClient_->send(
      std::move(HttpRequest), [Done = std::move(Done)](http::ClientResult HttpResult) {
        ExecutorAnswer Answer;
        Answer.Result_ = classify(HttpResult);
        Answer.Status_ = HttpResult.Answer_.Status_;
        Answer.Leaving_ =
            http::findHeader(HttpResult.Answer_.Headers_, "Masticdrift-Leaving") == "true";
        Answer.ContentType_ = std::move(HttpResult.Answer_.ContentType_);
        Answer.Body_ = std::move(HttpResult.Answer_.Body_);
        Answer.Error_ = std::move(HttpResult.Error_);
        Done(std::move(Answer));
      });
}

} // namespace masticdrift::legacy
