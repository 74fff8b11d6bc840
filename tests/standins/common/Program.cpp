#include "standins/common/Program.h"

#include <csignal>
#include <iostream>

#include <sys/prctl.h>

namespace masticdrift::standins {

void dieWithParent() { prctl(PR_SET_PDEATHSIG, SIGKILL); }

int runProgram(asio::io_context &Io, const Json &Ready) {
  asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&Io](std::error_code Error, int) {
    if (!Error)
      Io.stop();
  });
  std::cout << Ready.dump() << std::endl;
  Io.run();
  return 0;
}

void runAfter(asio::io_context &Io, std::chrono::milliseconds Delay,
              std::function<void()> Callback) {
  if (Delay.count() <= 0)
    return Callback();
  auto Timer = std::make_shared<asio::steady_timer>(Io, Delay);
  Timer->async_wait([Timer, Callback = std::move(Callback)](std::error_code Error) {
    if (!Error)
      Callback();
  });
}

Reply jsonReply(const Json &Body, int Status) { return {Status, Body.dump()}; }

Reply errorReply(int Status, std::string_view Text) {
  return jsonReply({{"error", std::string(Text)}}, Status);
}

void withJson(const http::Request &Incoming, const ReplyCallback &Answer,
              const std::function<void(const Json &)> &Callback) {
  try {
    Callback(Incoming.Body_.empty() ? Json::object() : Json::parse(Incoming.Body_));
  } catch (const std::exception &Error) {
    Answer(errorReply(400, Error.what()));
  }
}

StubHandler withControlRoutes(std::function<Json(const Json &)> Control,
                              std::function<Json()> Evidence, StubHandler NextHandler) {
  return [=](http::Request Incoming, ReplyCallback Answer) {
    if (Incoming.Path_ == "/evidence")
      return Answer(jsonReply(Evidence()));
    if (Incoming.Path_ != "/control")
      return NextHandler(std::move(Incoming), std::move(Answer));
    withJson(Incoming, Answer, [&](const Json &Body) { Answer(jsonReply(Control(Body))); });
  };
}

} // namespace masticdrift::standins
