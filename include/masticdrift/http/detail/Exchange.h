/// \file
/// HTTP exchange on a libcurl easy handle, used by Client and LoopClient.
#ifndef MASTICDRIFT_HTTP_DETAIL_EXCHANGE_H
#define MASTICDRIFT_HTTP_DETAIL_EXCHANGE_H

#include "masticdrift/http/Client.h"

#include <curl/curl.h>

namespace masticdrift::http::detail {

/// State of one exchange, kept until its callback has returned.
struct Exchange {
  ClientRequest Request_;
  Callback Done_;
  CURL *EasyHandle_ = nullptr;
  curl_slist *HeaderList_ = nullptr;
  Response Answer_;
  bool HeaderReceived_ = false;
  /// When the exchange began or a part of the response last arrived.
  std::chrono::steady_clock::time_point LastProgressAt_ = std::chrono::steady_clock::now();
  /// When the request was last sent; only valid while SendAllowed_ is set.
  std::chrono::steady_clock::time_point SentAt_{};
  /// The request is not sent later.
  std::chrono::steady_clock::time_point SendBy_ = std::chrono::steady_clock::time_point::max();
  bool SendAllowed_ = false; ///< MaySend_ allowed it, so bytes may have been sent
  bool SendDenied_ = false;  ///< MaySend_ returned false, or it was too late
  bool SentAgain_ = false;   ///< sending was allowed more than once
};

/// Sets all options of the easy handle of \p Operation.
///
/// \param MaxIdleSeconds idle time after which a connection is not reused.
/// \param MaxConnectionAgeSeconds age after which a connection is not reused.
void setOptions(Exchange &Operation, long MaxIdleSeconds, long MaxConnectionAgeSeconds);

/// Moves the response out of a finished exchange.
///
/// \returns the result of the exchange.
ClientResult takeResult(CURLcode Code, Exchange &Operation);

} // namespace masticdrift::http::detail

#endif // MASTICDRIFT_HTTP_DETAIL_EXCHANGE_H
