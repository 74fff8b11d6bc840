/// \file
/// Clients outside the limits and the daemon that they talk to, whose machine is small by its
/// settings.
#ifndef MASTICDRIFT_TESTING_CLIENTCROWD_H
#define MASTICDRIFT_TESTING_CLIENTCROWD_H

#include "support/PlatformFleet.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace masticdrift::testing {

/// A client that sends what it is told to and reads nothing.
class RawClient {
public:
  RawClient(asio::io_context &Loop, int Port);

  /// Sends until the server closes the connection.
  /// \returns false when it has.
  bool send(std::string_view Text);

  /// Sends what the connection takes at once.
  void sendAvailable(std::string_view Text);

  /// \returns true when the server has closed the connection.
  bool closedByServer();

private:
  asio::ip::tcp::socket Socket_;
  std::error_code Error_;
};

/// \returns the header of a submission to queue "q", without the empty line after it.
/// \param Fields further header fields, each with its line end but the last.
std::string submissionHeader(std::string_view Fields, std::string_view Id = "00000000000000b1");

/// \returns \p Count chunks of \p Size bytes.
std::string chunks(std::size_t Size, std::size_t Count);

/// \returns \p Count header fields with values of \p ValueSize bytes, each with its line end.
std::string headerFields(std::size_t Count, std::size_t ValueSize);

/// \returns a figure of /proc/PID/status in kilobytes, 0 when the process has ended.
long statusKb(Process &Daemon, const std::string &Name);

std::size_t openDescriptors(Process &Daemon);

/// \returns the bytes in the kernel's buffers of the connections to \p Port, in bytes: received and
/// not yet read by the server, and written by it and not yet acknowledged by the client.
std::size_t bytesInBuffers(int Port);

/// Raises the limit of descriptors of this process to the highest that needs no privileges.
void raiseDescriptorLimit();

/// Machine of a daemon.
struct SmallMachine {
  int MemoryMb_ = 96;
  int Descriptors_ = 600;
};

/// A daemon on a small machine and a crowd of clients, whose connections stay open.
class CrowdScene {
public:
  explicit CrowdScene(SmallMachine Machine = {}, int Daemons = 1);

  /// Opens a connection to the port for callers.
  RawClient &join(int Daemon = 0);
  /// Opens a connection to any port of the daemon.
  RawClient &joinAt(int Port);

  PlatformFleet &fleet() { return Fleet_; }
  asio::io_context &loop() { return Loop_; }

  /// Waits until the daemon has read what was sent to the port for callers.
  /// \returns false when it does not.
  bool awaitRead(int Daemon = 0);

  /// Notes how many descriptors the daemon has open now.
  void countDescriptors();

  /// Checks the daemon while the crowd's connections are open: it lives, completes an ordinary job,
  /// and has stayed below the memory and the descriptors of its machine.
  void check(int Daemon = 0);

  /// Checks that the daemon lives and has stayed below the memory and descriptors of its machine.
  void checkBounds(int Daemon = 0);

private:
  bool isOverMemory(int Daemon);

  SmallMachine Machine_;
  PlatformFleet Fleet_;
  asio::io_context Loop_;
  std::vector<std::unique_ptr<RawClient>> Crowd_;
  std::size_t MostDescriptors_ = 0;
  std::size_t MostBufferedBytes_ = 0;
};

} // namespace masticdrift::testing

#endif // MASTICDRIFT_TESTING_CLIENTCROWD_H
