/// \file
/// The platform's list of live and leaving instances.
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

enum class InstanceKind : std::uint8_t { Entry, Executor, Worker };

/// One instance of the list.
struct Instance {
  std::string Name_;
  InstanceKind Kind_ = InstanceKind::Worker;
  std::string Domain_;
  std::string Region_;
  std::string Rack_;
  std::string Address_; ///< "address:port", may continue with a base path
  std::string Pool_;    ///< executors: pool that queues refer to
  std::uint32_t Slots_ = 0;
  std::uint32_t Connections_ = 0;
  bool Leaving_ = false;
  core::Resources Capacity_;

  bool operator==(const Instance &) const = default;
};

/// Decodes the list.
///
/// \param Body the answer's body.
/// \returns the instances; nothing when the document is malformed, an element lacks a name, kind
/// or address, or an amount is not a number in range. Elements of an unknown kind are left out.
std::optional<std::vector<Instance>> parseInstances(std::string_view Body);

/// The last good list.
struct InstanceSnapshot {
  std::vector<Instance> Instances_;
  core::TimePoint SentAt_{}; ///< when the request was sent that returned this list
};

struct InstanceListOptions {
  std::string Url_; ///< whole URL, for example "http://address:port/instances"
  core::Duration Interval_ = std::chrono::seconds(1);
  std::chrono::milliseconds Timeout_{2000};
};

/// Polls the list and keeps the last good one while the service is away. Thread-safe.
class InstanceList {
public:
  /// \param Http must outlive this object.
  /// \param Timers must outlive this object and the HTTP client behind \p Http, whose callbacks
  /// post to it. Stop it before what the callbacks use is destroyed. \param OnChange called on the
  /// HTTP client's thread after the list's content has changed; may be empty. Not called any more
  /// once stop() has returned.
  InstanceList(http::Client &Http, core::Timers &Timers, InstanceListOptions Options,
               std::function<void()> OnChange = {});
  InstanceList(const InstanceList &) = delete;
  InstanceList &operator=(const InstanceList &) = delete;
  ~InstanceList();

  /// Starts polling, first at once.
  void start();

  /// Stops polling. Idempotent.
  void stop();

  /// \returns the last good list, null before the first one.
  std::shared_ptr<const InstanceSnapshot> current() const;

  /// \returns the age of the last good list, nothing before the first one.
  std::optional<core::Duration> age(core::TimePoint Now) const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::legacy

#endif // MASTICDRIFT_LEGACY_INSTANCELIST_H
