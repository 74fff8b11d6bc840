// Callers that stay outside the limits: bodies that never end, chunks of one byte, bodies far over
// the limit, and connections without requests. The daemon is a real process; its machine is small
// by its settings.
#include "support/ClientCrowd.h"

#include <string>

#include <asio/io_context.hpp>
#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;
using core::Millis;

namespace {

/// Memory of the daemon's machine, in megabytes.
constexpr int MachineMb = 96;
/// Descriptors of the daemon's machine.
constexpr int MachineDescriptors = 600;
/// Clients whose bodies together take several times the machine's memory on a server that holds all
/// of them.
constexpr int BodyClients = 40;
constexpr int TinyChunkClients = 12;
/// Connections without a request, more than the machine has descriptors.
constexpr int IdleClients = 900;

constexpr std::size_t Megabyte = 1U << 20U;
/// Time in which a caller gets its answer beside the crowd; only bounds the wait.
constexpr Millis AnswerTimeout{30'000};

/// A daemon on the small machine and a crowd of clients, whose connections stay open.
struct Scene : CrowdScene {
  Scene() : CrowdScene({MachineMb, MachineDescriptors}) {}
};

} // namespace

// --- Bodies that stop just short of their end ---

// Guards against a record for each chunk that is kept until the request is complete: bodies of half
// a megabyte in chunks of one byte took many times as much.
Test(ClientLimits, chunksOfOneByte) {
  Scene Small;
  const std::string Chunks = chunks(1, Megabyte / 2);
  for (int I = 0; I < TinyChunkClients; ++I)
    Small.join().send(submissionHeader("Transfer-Encoding: chunked") + Chunks);
  Small.check();
}

// Guards against bodies of all connections together that fill the machine's memory.
Test(ClientLimits, largeChunks) {
  Scene Small;
  const std::string Chunks = chunks(Megabyte / 16, 60);
  for (int I = 0; I < BodyClients; ++I)
    Small.join().send(submissionHeader("Transfer-Encoding: chunked") + Chunks);
  Small.check();
}

// The same with a declared length.
Test(ClientLimits, bodiesOfDeclaredLength) {
  Scene Small;
  const std::string Body(Megabyte * 15 / 4, ' ');
  for (int I = 0; I < BodyClients; ++I)
    Small.join().send(submissionHeader("Content-Length: " + std::to_string(Body.size() + 1)) +
                      Body);
  Small.check();
}

// --- Bodies far over the limit ---

// Guards against a server that reads what it will refuse.
Test(ClientLimits, announcedBodiesFarOverTheLimit) {
  Scene Small;
  const std::string Part(Megabyte, ' ');
  for (int I = 0; I < BodyClients; ++I) {
    RawClient &Client = Small.join();
    Client.send(submissionHeader("Content-Length: 1000000000"));
    for (int J = 0; J < 8 && Client.send(Part); ++J) {
    }
  }
  Small.check();
}

// The same without a declared length.
Test(ClientLimits, endlessChunks) {
  Scene Small;
  const std::string Part = chunks(Megabyte / 4, 4);
  for (int I = 0; I < BodyClients; ++I) {
    RawClient &Client = Small.join();
    Client.send(submissionHeader("Transfer-Encoding: chunked"));
    for (int J = 0; J < 8 && Client.send(Part); ++J) {
    }
  }
  Small.check();
}

// --- Connections ---

// Guards against connections that take all descriptors, so that no caller gets one.
Test(ClientLimits, connectionsWithoutARequest) {
  Scene Small;
  for (int I = 0; I < IdleClients; ++I)
    Small.join().send("POST /q/");
  Small.check();
}

// --- A single client within the limits ---

// Guards against limits that a caller meets which keeps to those of the configuration: a body of
// the largest size, also in chunks of one byte.
Test(ClientLimits, aBodyOfTheLargestSizeIsServed) {
  PlatformFleet Fleet(1, 2, 0.25, false, {{"memory_mb", MachineMb}});
  const std::string Body =
      R"({"spec":"ms=50","steps":[{"count":1,"cpu":500,"mem_mb":100,"estimated_ms":50}]})";
  const std::string Padded = Body + std::string(99'000 - Body.size(), ' ');
  cr_expect_eq(Fleet.call(0, "POST", "/q/00000000000000b4", Padded).Answer_.Status_, 200);
  std::string Request = submissionHeader("Transfer-Encoding: chunked");
  for (const char Byte : Padded)
    Request += std::string("1\r\n") + Byte + "\r\n";
  Request += "0\r\n\r\n";
  asio::io_context Loop;
  RawClient Client(Loop, Fleet.callerPort(0));
  cr_expect(Client.send(Request));
  cr_expect(Fleet.awaitState(0, "00000000000000b1", "completed", AnswerTimeout));
}
