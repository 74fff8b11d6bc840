#include "support/ClientCrowd.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <asio/write.hpp>
#include <criterion/criterion.h>
#include <sys/resource.h>

namespace masticdrift::testing {

namespace {

/// Time for which the daemon's memory is watched.
constexpr core::Millis WatchTime{3000};
/// Time in which a caller gets its answer beside the crowd; only bounds the wait.
constexpr core::Millis AnswerTimeout{30'000};
constexpr std::size_t BytesPerMegabyte = 1U << 20U;
constexpr std::size_t BytesPerKilobyte = 1U << 10U;

} // namespace

RawClient::RawClient(asio::io_context &Loop, int Port) : Socket_(Loop) {
  Socket_.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(Port)}, Error_);
}

bool RawClient::send(std::string_view Text) {
  if (!Error_)
    asio::write(Socket_, asio::buffer(Text.data(), Text.size()), Error_);
  return !Error_;
}

void RawClient::sendAvailable(std::string_view Text) {
  if (Error_)
    return;
  Socket_.non_blocking(true, Error_);
  while (!Error_ && !Text.empty())
    Text.remove_prefix(Socket_.write_some(asio::buffer(Text.data(), Text.size()), Error_));
  if (Error_ == asio::error::would_block)
    Error_ = {};
  std::error_code Ignored; // the next write shows what is wrong
  Socket_.non_blocking(false, Ignored);
}

bool RawClient::closedByServer() {
  if (Error_)
    return true;
  Socket_.non_blocking(true, Error_);
  char Byte = 0;
  std::error_code Error;
  Socket_.receive(asio::buffer(&Byte, 1), asio::socket_base::message_peek, Error);
  std::error_code Ignored; // the next write shows what is wrong
  Socket_.non_blocking(false, Ignored);
  return Error && Error != asio::error::would_block;
}

std::string submissionHeader(std::string_view Fields, std::string_view Id) {
  return "POST /q/" + std::string(Id) +
         " HTTP/1.1\r\nHost: queue.example\r\nAuthorization: Token " + std::string(CallerKey) +
         "\r\nContent-Type: application/json\r\n" + std::string(Fields) + "\r\n\r\n";
}

std::string chunks(std::size_t Size, std::size_t Count) {
  char Header[16];
  std::snprintf(Header, sizeof Header, "%zx\r\n", Size);
  const std::string Chunk = Header + std::string(Size, ' ') + "\r\n";
  std::string Text;
  Text.reserve(Chunk.size() * Count);
  for (std::size_t I = 0; I < Count; ++I)
    Text += Chunk;
  return Text;
}

std::string headerFields(std::size_t Count, std::size_t ValueSize) {
  std::string Text;
  for (std::size_t I = 0; I < Count; ++I)
    Text += "X-Field-" + std::to_string(I) + ": " + std::string(ValueSize, 'v') + "\r\n";
  return Text;
}

long statusKb(Process &Daemon, const std::string &Name) {
  std::ifstream File("/proc/" + std::to_string(Daemon.pid()) + "/status");
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with(Name + ":"))
      return std::stol(Line.substr(Name.size() + 1));
  return 0;
}

std::size_t openDescriptors(Process &Daemon) {
  std::error_code Error;
  std::size_t Count = 0;
  for (auto Entry = std::filesystem::directory_iterator(
           "/proc/" + std::to_string(Daemon.pid()) + "/fd", Error);
       !Error && Entry != std::filesystem::directory_iterator(); Entry.increment(Error))
    ++Count;
  return Count;
}

std::size_t bytesInBuffers(int Port) {
  // A row begins with its number, the local and the remote address with their ports, the state and
  // both queues, all but the number in hexadecimal digits.
  std::ifstream File("/proc/net/tcp");
  std::size_t Bytes = 0;
  for (std::string Line; std::getline(File, Line);) {
    std::istringstream Row(Line);
    std::string Number;
    std::string Local;
    std::string Remote;
    std::string State;
    std::string Queues;
    constexpr const char *Listening = "0A";
    if (!(Row >> Number >> Local >> Remote >> State >> Queues) || State == Listening)
      continue;
    const std::size_t Colon = Local.find(':');
    const std::size_t Separator = Queues.find(':');
    constexpr int Hexadecimal = 16;
    if (Colon == std::string::npos || Separator == std::string::npos ||
        std::stoi(Local.substr(Colon + 1), nullptr, Hexadecimal) != Port)
      continue;
    Bytes += std::stoul(Queues.substr(0, Separator), nullptr, Hexadecimal) +
             std::stoul(Queues.substr(Separator + 1), nullptr, Hexadecimal);
  }
  return Bytes;
}

void raiseDescriptorLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return;
  Limit.rlim_cur = Limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Limit);
}

CrowdScene::CrowdScene(SmallMachine Machine, int Daemons)
    : Machine_(Machine),
      Fleet_(Daemons, 2, 0.25, false,
             {{"memory_mb", Machine.MemoryMb_}, {"max_fds", Machine.Descriptors_}}) {
  raiseDescriptorLimit();
}

RawClient &CrowdScene::join(int Daemon) { return joinAt(Fleet_.callerPort(Daemon)); }

RawClient &CrowdScene::joinAt(int Port) {
  Crowd_.push_back(std::make_unique<RawClient>(Loop_, Port));
  // Listing thousands of descriptors for each of thousands of clients takes minutes.
  constexpr std::size_t ClientsPerCount = 16;
  if (Crowd_.size() % ClientsPerCount == 0)
    countDescriptors();
  return *Crowd_.back();
}

bool CrowdScene::awaitRead(int Daemon) {
  return waitFor(WatchTime, [&] { return bytesInBuffers(Fleet_.callerPort(Daemon)) == 0; });
}

void CrowdScene::countDescriptors() {
  MostDescriptors_ = std::max(MostDescriptors_, openDescriptors(Fleet_.daemon(0)));
}

bool CrowdScene::isOverMemory(int Daemon) {
  std::size_t Buffered = 0;
  for (int Server = 0; Server < PlatformFleet::ServersPerDaemon; ++Server)
    Buffered += bytesInBuffers(Fleet_.callerPort(Daemon) + Server);
  MostBufferedBytes_ = std::max(MostBufferedBytes_, Buffered);
  const auto ResidentKb = static_cast<std::size_t>(statusKb(Fleet_.daemon(Daemon), "VmHWM"));
  return ResidentKb * BytesPerKilobyte + MostBufferedBytes_ >=
         static_cast<std::size_t>(Machine_.MemoryMb_) * BytesPerMegabyte;
}

void CrowdScene::checkBounds(int Daemon) {
  // What was sent may still wait in the buffers of the connections.
  waitFor(WatchTime, [&] { return isOverMemory(Daemon); });
  cr_assert(Fleet_.daemon(Daemon).running(), "the daemon has ended: %s",
            Fleet_.daemon(Daemon).errors().c_str());
  cr_expect(!isOverMemory(Daemon), "the daemon took %ld kB and %zu bytes in buffers",
            statusKb(Fleet_.daemon(Daemon), "VmHWM"), MostBufferedBytes_);
  countDescriptors();
  cr_expect_lt(MostDescriptors_, static_cast<std::size_t>(Machine_.Descriptors_), "%zu descriptors",
               MostDescriptors_);
}

void CrowdScene::check(int Daemon) {
  checkBounds(Daemon);
  cr_expect_eq(Fleet_.submit(Daemon, "00000000000000b3", {}).Answer_.Status_, 200);
  cr_expect(Fleet_.awaitState(Daemon, "00000000000000b3", "completed", AnswerTimeout));
  checkBounds(Daemon);
}

} // namespace masticdrift::testing
