// What a client gets whose request finds no memory in the server.
#include "masticdrift/http/Server.h"

#include <chrono>
#include <string>
#include <system_error>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>

using namespace masticdrift;

// Guards against an answer which says that a request has not run, from a place that can't know it:
// the request may repeat a submission that was accepted and whose answer was lost.
Test(ServerRefusal, aRequestWithoutMemoryIsClosedWithoutAnAnswer) {
  http::ServerOptions Options;
  Options.MaxHeldBytes_ = 64U << 10U;
  const http::Server Server(Options, [](const http::Request &, const http::Responder &Respond) {
    Respond({200, "{}", "application/json", {}, false});
  });
  asio::io_context Loop;
  asio::ip::tcp::socket Client(Loop);
  Client.connect({asio::ip::address_v4::loopback(), Server.port()});
  asio::write(Client, asio::buffer(std::string(
                          "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 500000\r\n\r\n")));
  std::error_code Error;
  const std::string Part(1000, 'x');
  // Small parts, so that nothing is left unread when the server closes the connection: a reset
  // would hide its answer.
  Client.non_blocking(true);
  std::string Received;
  char Buffer[4096];
  while (!Error || Error == asio::error::would_block || Error == asio::error::try_again) {
    Client.write_some(asio::buffer(Part), Error);
    Client.wait(asio::ip::tcp::socket::wait_write, Error);
    Error.clear();
    const std::size_t Size = Client.read_some(asio::buffer(Buffer), Error);
    Received.append(Buffer, Size);
  }
  cr_expect(Received.empty(), "%s", Received.c_str());
}
