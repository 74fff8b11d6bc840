#include "masticdrift/legacy/ExecutorClient.h"

#include "masticdrift/http/Client.h"

namespace masticdrift::legacy {

namespace {

ExecutorResult classify(const http::ClientResult &From) {
  switch (From.Transfer_) {
  case http::Transfer::NotConnected:
    return ExecutorResult::NotConnected;
  case http::Transfer::Truncated:
    return ExecutorResult::Truncated;
  case http::Transfer::NoAnswer:
    return ExecutorResult::NoAnswer;
  case http::Transfer::Complete:
    break;
  }
  if (http::findHeader(From.Answer_.Headers_, "Masticdrift-Not-Run") == "true")
    return ExecutorResult::Refused;
  return From.Answer_.Status_ >= 500 ? ExecutorResult::Failed : ExecutorResult::Completed;
}

} // namespace

ExecutorClient::ExecutorClient(int ConnectionsPerExecutor, std::chrono::seconds IdleLimit,
                               std::chrono::seconds LifeLimit)
    : Client_(std::make_unique<http::Client>(ConnectionsPerExecutor, IdleLimit, LifeLimit)) {}

ExecutorClient::~ExecutorClient() = default;

void ExecutorClient::send(ExecutorRequest Request, std::function<void(ExecutorAnswer)> Done) {
  http::ClientRequest Out;
  Out.Method_ = "POST";
  Out.Url_ = "http://" + Request.Address_ + "/run";
  Out.Body_ = std::move(Request.Body_);
  Out.Timeout_ = Request.Remaining_;
  Out.FreshConnection_ = !Request.Idempotent_;
  Out.MaySend_ = std::move(Request.MaySend_);
  Out.Headers_ = {{"Masticdrift-Request-Id", Request.RequestId_},
                  {"Masticdrift-Deadline-Ms", std::to_string(Request.Remaining_.count())}};
  if (!Request.ContentType_.empty())
    Out.Headers_.emplace_back("Content-Type", Request.ContentType_);
  Client_->send(std::move(Out), [Done = std::move(Done)](http::ClientResult From) {
    ExecutorAnswer To;
    To.Result_ = classify(From);
    To.Status_ = From.Answer_.Status_;
    To.Leaving_ = http::findHeader(From.Answer_.Headers_, "Masticdrift-Leaving") == "true";
    To.ContentType_ = std::move(From.Answer_.ContentType_);
    To.Body_ = std::move(From.Answer_.Body_);
    To.Error_ = std::move(From.Error_);
    Done(std::move(To));
  });
}

} // namespace masticdrift::legacy
