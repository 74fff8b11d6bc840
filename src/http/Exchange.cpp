#include "masticdrift/http/detail/Exchange.h"

namespace masticdrift::http::detail {

namespace {

std::size_t writeCallback(char *Data, std::size_t Size, std::size_t Count, void *User) {
  auto &Self = *static_cast<Exchange *>(User);
  Self.LastProgressAt_ = std::chrono::steady_clock::now();
  Self.Answer_.Body_.append(Data, Size * Count);
  return Size * Count;
}

std::size_t headerCallback(char *Data, std::size_t Size, std::size_t Count, void *User) {
  auto &Self = *static_cast<Exchange *>(User);
  Self.HeaderReceived_ = true;
  Self.LastProgressAt_ = std::chrono::steady_clock::now();
  std::string_view Line(Data, Size * Count);
  while (!Line.empty() && (Line.back() == '\r' || Line.back() == '\n'))
    Line.remove_suffix(1);
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return Size * Count;
  std::string_view Value = Line.substr(Colon + 1);
  while (!Value.empty() && Value.front() == ' ')
    Value.remove_prefix(1);
  Self.Answer_.Headers_.emplace_back(Line.substr(0, Colon), Value);
  return Size * Count;
}

/// Called by libcurl on each connection immediately before it sends the request.
int preRequestCallback(void *User, char *, char *, int, int) {
  auto &Self = *static_cast<Exchange *>(User);
  const auto Now = std::chrono::steady_clock::now();
  const bool SentBefore = Self.Request_.SendOnce_ && Self.SendAllowed_;
  if (SentBefore || Now > Self.SendBy_ || (Self.Request_.MaySend_ && !Self.Request_.MaySend_())) {
    Self.SendDenied_ = true;
    return CURL_PREREQFUNC_ABORT;
  }
  Self.SentAgain_ = Self.SendAllowed_;
  Self.SendAllowed_ = true;
  Self.SentAt_ = Now;
  return CURL_PREREQFUNC_OK;
}

bool hasDeclaredLength(const Exchange &Operation) {
  return !findHeader(Operation.Answer_.Headers_, "Content-Length").empty() ||
         findHeader(Operation.Answer_.Headers_, "Transfer-Encoding") == "chunked" ||
         Operation.Answer_.Status_ == 204 || Operation.Answer_.Status_ == 304;
}

Transfer classify(CURLcode Code, const Exchange &Operation) {
  if (Code == CURLE_OK)
    return hasDeclaredLength(Operation) ? Transfer::Complete : Transfer::Truncated;
  if (Operation.HeaderReceived_)
    return Transfer::Truncated;
  if (Operation.SendDenied_)
    return Operation.SendAllowed_ ? Transfer::NoAnswer : Transfer::NotConnected;
  // MaySend_ is called on an established connection, immediately before the first byte.
  return Operation.SendAllowed_ ? Transfer::NoAnswer : Transfer::NotConnected;
}

} // namespace

void setOptions(Exchange &Operation, long MaxIdleSeconds, long MaxConnectionAgeSeconds) {
  CURL *EasyHandle = Operation.EasyHandle_;
  curl_easy_setopt(EasyHandle, CURLOPT_URL, Operation.Request_.Url_.c_str());
  curl_easy_setopt(EasyHandle, CURLOPT_CUSTOMREQUEST, Operation.Request_.Method_.c_str());
  curl_easy_setopt(EasyHandle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(EasyHandle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(EasyHandle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(EasyHandle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(EasyHandle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Operation.Request_.Timeout_.count()));
  curl_easy_setopt(EasyHandle, CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
  curl_easy_setopt(EasyHandle, CURLOPT_MAXLIFETIME_CONN, MaxConnectionAgeSeconds);
  curl_easy_setopt(EasyHandle, CURLOPT_WRITEFUNCTION, &writeCallback);
  curl_easy_setopt(EasyHandle, CURLOPT_WRITEDATA, &Operation);
  curl_easy_setopt(EasyHandle, CURLOPT_HEADERFUNCTION, &headerCallback);
  curl_easy_setopt(EasyHandle, CURLOPT_HEADERDATA, &Operation);
  curl_easy_setopt(EasyHandle, CURLOPT_PREREQFUNCTION, &preRequestCallback);
  curl_easy_setopt(EasyHandle, CURLOPT_PREREQDATA, &Operation);
  curl_easy_setopt(EasyHandle, CURLOPT_PRIVATE, &Operation);
  if (Operation.Request_.FreshConnection_) {
    curl_easy_setopt(EasyHandle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(EasyHandle, CURLOPT_FORBID_REUSE, 1L);
  }
  if (!Operation.Request_.Body_.empty() || Operation.Request_.Method_ != "GET") {
    curl_easy_setopt(EasyHandle, CURLOPT_POSTFIELDS, Operation.Request_.Body_.data());
    curl_easy_setopt(EasyHandle, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(Operation.Request_.Body_.size()));
  }
  // Disables "Expect: 100-continue", with which libcurl resends the body after some responses.
  Operation.HeaderList_ = curl_slist_append(nullptr, "Expect:");
  for (const auto &[Name, Value] : Operation.Request_.Headers_)
    Operation.HeaderList_ = curl_slist_append(Operation.HeaderList_, (Name + ": " + Value).c_str());
  curl_easy_setopt(EasyHandle, CURLOPT_HTTPHEADER, Operation.HeaderList_);
}

ClientResult takeResult(CURLcode Code, Exchange &Operation) {
  ClientResult Result;
  long Status = 0;
  long HeaderBytesOut = 0;
  long HeaderBytesIn = 0;
  curl_off_t BodyBytesOut = 0;
  curl_easy_getinfo(Operation.EasyHandle_, CURLINFO_RESPONSE_CODE, &Status);
  curl_easy_getinfo(Operation.EasyHandle_, CURLINFO_REQUEST_SIZE, &HeaderBytesOut);
  curl_easy_getinfo(Operation.EasyHandle_, CURLINFO_HEADER_SIZE, &HeaderBytesIn);
  curl_easy_getinfo(Operation.EasyHandle_, CURLINFO_SIZE_UPLOAD_T, &BodyBytesOut);
  Operation.Answer_.Status_ = static_cast<int>(Status);
  Result.BytesOut_ =
      static_cast<std::size_t>(HeaderBytesOut) + static_cast<std::size_t>(BodyBytesOut);
  Result.BytesIn_ = static_cast<std::size_t>(HeaderBytesIn) + Operation.Answer_.Body_.size();
  Result.Transfer_ = classify(Code, Operation);
  Result.EarlierCopySent_ = Operation.SentAgain_;
  if (Operation.SendDenied_ && Operation.Request_.SendOnce_ && Operation.SendAllowed_)
    Result.Error_ = "request not sent again: the connection failed before the response";
  else if (Operation.SendDenied_)
    Result.Error_ = "request not sent: sending was no longer allowed when the request's turn came";
  else if (Code != CURLE_OK)
    Result.Error_ = curl_easy_strerror(Code);
  else if (Result.Transfer_ == Transfer::Truncated)
    Result.Error_ = "response declares no length";
  Operation.Answer_.ContentType_ = findHeader(Operation.Answer_.Headers_, "Content-Type");
  Result.Answer_ = std::move(Operation.Answer_);
  return Result;
}

} // namespace masticdrift::http::detail
