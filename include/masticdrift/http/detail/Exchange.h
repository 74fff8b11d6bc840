/// \file
/// One HTTP exchange on a libcurl handle, shared by the threaded and the loop client.
#ifndef MASTICDRIFT_HTTP_DETAIL_EXCHANGE_H
#define MASTICDRIFT_HTTP_DETAIL_EXCHANGE_H

#include "masticdrift/http/Client.h"

#include <curl/curl.h>

namespace masticdrift::http::detail {

/// One exchange; lives until its callback has run.
struct Exchange {
  ClientRequest Request_;
  Callback Done_;
  CURL *EasyHandle_ = nullptr;
  curl_slist *HeaderList_ = nullptr;
  Response Answer_;
  bool HeaderReceived_ = false;
  bool SendAllowed_ = false; ///< bytes may have been sent
  bool SendDenied_ = false;  ///< MaySend_ said no
};

/// Sets all options of \p Operation's handle.
///
/// \param MaxIdleSeconds connections idle longer are not reused.
/// \param MaxConnectionAgeSeconds connections older than this are not reused.
void setOptions(Exchange &Operation, long MaxIdleSeconds, long MaxConnectionAgeSeconds);

/// \returns the outcome of a finished exchange; takes the answer out of \p Operation.
ClientResult takeResult(CURLcode Code, Exchange &Operation);

} // namespace masticdrift::http::detail

#endif // MASTICDRIFT_HTTP_DETAIL_EXCHANGE_H
