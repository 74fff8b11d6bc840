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
  CURL *Easy_ = nullptr;
  curl_slist *HeaderList_ = nullptr;
  Response Answer_;
  bool HeadersSeen_ = false;
  bool Permitted_ = false; ///< bytes may have been sent
  bool Withheld_ = false;  ///< MaySend_ said no
};

/// Sets all options of \p Work's handle.
///
/// \param IdleSeconds connections idle longer are not reused.
/// \param LifeSeconds connections older than this are not reused.
void prepare(Exchange &Work, long IdleSeconds, long LifeSeconds);

/// \returns the outcome of a finished exchange; takes the answer out of \p Work.
ClientResult resultOf(CURLcode Code, Exchange &Work);

} // namespace masticdrift::http::detail

#endif // MASTICDRIFT_HTTP_DETAIL_EXCHANGE_H
