/// \file
/// The HTTP interface for operators: configuration, keys, audit, status, metrics, drain.
#ifndef MASTICDRIFT_GATEWAY_OPERATORAPI_H
#define MASTICDRIFT_GATEWAY_OPERATORAPI_H

#include "masticdrift/http/Server.h"
#include "masticdrift/replica/ConfigReplica.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace masticdrift::gateway {

/// Last reported configuration offset of one daemon.
struct InstanceConfigOffset {
  std::string Name_;
  std::uint64_t ConfigOffset_ = 0;
  bool Reachable_ = false; ///< answered a probe sent less than 4 s ago
};

struct OperatorApiHooks {
  /// \returns the daemon's status as JSON text.
  std::function<std::string()> StatusJson_;
  /// Configuration offsets of all known daemons of the fleet, including this one.
  std::function<std::vector<InstanceConfigOffset>()> ConfigOffsets_;
  /// Starts the graceful shutdown.
  std::function<void()> Drain_;
};

/// Serves configuration, keys, audit log, status and metrics to operators. Thread-safe.
class OperatorApi {
public:
  /// \param KeyHashes SHA-256 hashes of the operators' keys; if empty, everything except health and
  /// metrics is refused.
  OperatorApi(std::vector<std::string> KeyHashes, std::size_t FleetSize,
              replica::ConfigReplica &Config, OperatorApiHooks Hooks);
  OperatorApi(const OperatorApi &) = delete;
  OperatorApi &operator=(const OperatorApi &) = delete;
  ~OperatorApi();

  /// Handles one HTTP request; passed to an http::Server.
  void handle(http::Request Request, http::Responder Respond);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::gateway

#endif // MASTICDRIFT_GATEWAY_OPERATORAPI_H
