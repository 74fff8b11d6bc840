/// \file
/// Client of the platform's registry of live and leaving instances.
///
/// The namespace legacy holds the clients of the platform's first version, which masticdriftd uses
/// when it runs without --platform.
#ifndef MASTICDRIFT_LEGACY_INSTANCELIST_H
#define MASTICDRIFT_LEGACY_INSTANCELIST_H

#include "masticdrift/core/Clock.h"
#include "masticdrift/core/Resources.h"
#include "masticdrift/core/Timers.h"
#include "masticdrift/http/Client.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticdrift::legacy {

/// Role of an instance.
enum class InstanceKind : std::uint8_t { Entry, Executor, Worker };

/// One registered instance.
struct Instance {
  std::string Name_;
  InstanceKind Kind_ = InstanceKind::Worker;
  std::string Domain_;
  std::string Region_;
  std::string Rack_;
  std::string Address_; ///< "address:port", optionally followed by a base path
  std::string Pool_;    ///< executors only: name of the pool that queues refer to
  std::uint32_t Slots_ = 0;
  std::uint32_t Connections_ = 0;
  bool Leaving_ = false; ///< the instance is shutting down
  core::Resources Capacity_;

  bool operator==(const Instance &) const = default;
};

/// Parses the instance list.
///
/// \param Body JSON body of the response.
/// \returns the instances, without those of an unknown kind; std::nullopt when the document is
/// malformed, an element lacks a name, kind or address, or a quantity is not a number in range.
std::optional<std::vector<Instance>> parseInstances(std::string_view Body);

/// The last valid instance list.
struct InstanceSnapshot {
  std::vector<Instance> Instances_;
  core::TimePoint SentAt_{}; ///< send time of the request that last returned or confirmed this list
};

struct InstanceListOptions {
  std::string Url_; ///< full URL, for example "http://address:port/instances"
  /// Polling period, measured from one request to the next.
  core::Duration Interval_ = std::chrono::seconds(1);
  std::chrono::milliseconds Timeout_{2000}; ///< per request
};

/// Polls the instance list and keeps the last valid one while the service is unavailable.
/// Thread-safe.
class InstanceList {
public:
  /// \param Http must outlive this object.
  /// \param Timers must outlive this object and the HTTP client behind \p Http, whose callbacks
  /// schedule timers on it. Stop it before destroying anything that the callbacks use.
  /// \param OnChange called on the HTTP client's thread after the list has changed; may be empty.
  /// It is not called after stop() has returned.
  InstanceList(http::Client &Http, core::Timers &Timers, InstanceListOptions Options,
               std::function<void()> OnChange = {});
  InstanceList(const InstanceList &) = delete;
  InstanceList &operator=(const InstanceList &) = delete;
  ~InstanceList();

  /// Starts polling; the first request is sent immediately.
  void start();

  /// Stops polling. Idempotent.
  void stop();

  /// \returns the last valid list; null before the first one.
  std::shared_ptr<const InstanceSnapshot> current() const;

  /// \returns the age of the last valid list; std::nullopt before the first one.
  std::optional<core::Duration> age(core::TimePoint Now) const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::legacy

#endif // MASTICDRIFT_LEGACY_INSTANCELIST_H
