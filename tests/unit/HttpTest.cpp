#include "masticdrift/http/Client.h"
#include "masticdrift/http/Server.h"

#include <criterion/criterion.h>

using namespace masticdrift;

Test(HttpExchange, anAnswerArrivesWhole) {
  http::Server Server({}, [](http::Request In, http::Responder Respond) {
    Respond({200, In.Method_ + " " + In.Path_ + " " + In.Body_, "text/plain", {}});
  });
  http::Client Client;
  const auto Result = Client.sendAndWait(
      {"POST", "http://127.0.0.1:" + std::to_string(Server.port()) + "/a?b=c", "body", {}});
  cr_assert(Result.Transfer_ == http::Transfer::Complete, "%s", Result.Error_.c_str());
  cr_assert(Result.Answer_.Body_ == "POST /a body");
}

Test(HttpExchange, aRefusedConnectionIsReportedAsNotConnected) {
  std::uint16_t Port = 0;
  {
    http::Server Server({}, [](auto, auto) {});
    Port = Server.port();
  }
  http::Client Client;
  const auto Result =
      Client.sendAndWait({"GET", "http://127.0.0.1:" + std::to_string(Port) + "/", "", {}});
  cr_assert(Result.Transfer_ == http::Transfer::NotConnected);
}

Test(HttpExchange, anOversizedBodyGetsAStableId) {
  http::ServerOptions Options;
  Options.MaxBodyBytes_ = 100;
  http::Server Server(Options, [](auto, http::Responder Respond) { Respond({}); });
  http::Client Client;
  const auto Result = Client.sendAndWait({"POST",
                                          "http://127.0.0.1:" + std::to_string(Server.port()) + "/",
                                          std::string(200, 'x'),
                                          {}});
  cr_assert_eq(Result.Answer_.Status_, 413);
  cr_assert(Result.Answer_.Body_.find("MD-102") != std::string::npos);
}

// Guards against query values that change the request, because any bytes may be in them.
Test(HttpMessage, anEncodedQueryValueIsDecodedUnchanged) {
  std::string AllBytes;
  for (int Byte = 0; Byte < 256; ++Byte)
    AllBytes += static_cast<char>(Byte);
  cr_expect(http::queryValue("a=1&k=" + http::percentEncode(AllBytes) + "&b=2", "k") == AllBytes);
  cr_expect(http::percentEncode("executor/i-1.a_b~") == "executor/i-1.a_b~");
}
