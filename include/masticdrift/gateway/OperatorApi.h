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

/// Config offset of one daemon, as last heard.
struct InstanceConfigOffset {
  std::string Name_;
  std::uint64_t ConfigOffset_ = 0;
  bool Reachable_ = false; ///< answered a probe within the last seconds
};

struct OperatorApiHooks {
  /// JSON text of the daemon's status.
  std::function<std::string()> StatusJson_;
  /// All daemons of the fleet that are known, this one included.
  std::function<std::vector<InstanceConfigOffset>()> ConfigOffsets_;
  /// Starts the graceful stop.
  std::function<void()> Drain_;
};

/// Thread-safe.
class OperatorApi {
public:
  /// \param KeyHashes SHA-256 hashes of the operators' keys; none refuses everything but health and
  /// metrics.
  OperatorApi(std::vector<std::string> KeyHashes, std::size_t FleetSize,
              replica::ConfigReplica &Config, OperatorApiHooks Hooks);
  OperatorApi(const OperatorApi &) = delete;
  OperatorApi &operator=(const OperatorApi &) = delete;
  ~OperatorApi();

  /// The handler of an http::Server.
  void handle(http::Request Request, http::Responder Respond);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::gateway

#endif // MASTICDRIFT_GATEWAY_OPERATORAPI_H
