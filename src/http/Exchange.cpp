#include "masticdrift/http/detail/Exchange.h"

namespace masticdrift::http::detail {

namespace {

std::size_t onBody(char *Data, std::size_t Size, std::size_t Count, void *User) {
  static_cast<Exchange *>(User)->Answer_.Body_.append(Data, Size * Count);
  return Size * Count;
}

std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count, void *User) {
  auto &Self = *static_cast<Exchange *>(User);
  Self.HeadersSeen_ = true;
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

/// libcurl calls this for each connection on which it is about to send the request.
int onConnected(void *User, char *, char *, int, int) {
  auto &Self = *static_cast<Exchange *>(User);
  if (Self.Request_.MaySend_ && !Self.Request_.MaySend_()) {
    Self.Withheld_ = true;
    return CURL_PREREQFUNC_ABORT;
  }
  Self.Permitted_ = true;
  return CURL_PREREQFUNC_OK;
}

bool lengthDeclared(const Exchange &Work) {
  return !findHeader(Work.Answer_.Headers_, "Content-Length").empty() ||
         findHeader(Work.Answer_.Headers_, "Transfer-Encoding") == "chunked" ||
         Work.Answer_.Status_ == 204 || Work.Answer_.Status_ == 304;
}

Transfer classify(CURLcode Code, const Exchange &Work) {
  if (Code == CURLE_OK)
    return lengthDeclared(Work) ? Transfer::Complete : Transfer::Truncated;
  if (Work.HeadersSeen_)
    return Transfer::Truncated;
  if (Work.Withheld_)
    return Work.Permitted_ ? Transfer::NoAnswer : Transfer::NotConnected;
  // The permission is asked for when a connection is there, immediately before the first byte.
  return Work.Permitted_ ? Transfer::NoAnswer : Transfer::NotConnected;
}

} // namespace

void prepare(Exchange &Work, long IdleSeconds, long LifeSeconds) {
  CURL *Easy = Work.Easy_;
  curl_easy_setopt(Easy, CURLOPT_URL, Work.Request_.Url_.c_str());
  curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Work.Request_.Method_.c_str());
  curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(Easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS, static_cast<long>(Work.Request_.Timeout_.count()));
  curl_easy_setopt(Easy, CURLOPT_MAXAGE_CONN, IdleSeconds);
  curl_easy_setopt(Easy, CURLOPT_MAXLIFETIME_CONN, LifeSeconds);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &onBody);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Work);
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &onHeader);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Work);
  curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, &onConnected);
  curl_easy_setopt(Easy, CURLOPT_PREREQDATA, &Work);
  curl_easy_setopt(Easy, CURLOPT_PRIVATE, &Work);
  if (Work.Request_.FreshConnection_) {
    curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, 1L);
  }
  if (!Work.Request_.Body_.empty() || Work.Request_.Method_ != "GET") {
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Work.Request_.Body_.data());
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(Work.Request_.Body_.size()));
  }
  // No "Expect: 100-continue": libcurl would send the body again by itself on some answers.
  Work.HeaderList_ = curl_slist_append(nullptr, "Expect:");
  for (const auto &[Name, Value] : Work.Request_.Headers_)
    Work.HeaderList_ = curl_slist_append(Work.HeaderList_, (Name + ": " + Value).c_str());
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Work.HeaderList_);
}

ClientResult resultOf(CURLcode Code, Exchange &Work) {
  ClientResult Result;
  long Status = 0;
  long HeaderOut = 0;
  long HeaderIn = 0;
  curl_off_t BodyOut = 0;
  curl_easy_getinfo(Work.Easy_, CURLINFO_RESPONSE_CODE, &Status);
  curl_easy_getinfo(Work.Easy_, CURLINFO_REQUEST_SIZE, &HeaderOut);
  curl_easy_getinfo(Work.Easy_, CURLINFO_HEADER_SIZE, &HeaderIn);
  curl_easy_getinfo(Work.Easy_, CURLINFO_SIZE_UPLOAD_T, &BodyOut);
  Work.Answer_.Status_ = static_cast<int>(Status);
  Result.BytesOut_ = static_cast<std::size_t>(HeaderOut) + static_cast<std::size_t>(BodyOut);
  Result.BytesIn_ = static_cast<std::size_t>(HeaderIn) + Work.Answer_.Body_.size();
  Result.Transfer_ = classify(Code, Work);
  if (Work.Withheld_)
    Result.Error_ = "the request was withheld before it was sent";
  else if (Code != CURLE_OK)
    Result.Error_ = curl_easy_strerror(Code);
  else if (Result.Transfer_ == Transfer::Truncated)
    Result.Error_ = "answer has no declared length";
  Work.Answer_.ContentType_ = findHeader(Work.Answer_.Headers_, "Content-Type");
  Result.Answer_ = std::move(Work.Answer_);
  return Result;
}

} // namespace masticdrift::http::detail
