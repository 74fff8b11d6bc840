#include "masticdrift/legacy/InstanceList.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"

#include <cmath>
#include <limits>
#include <mutex>
#include <utility>

#include <nlohmann/json.hpp>

namespace masticdrift::legacy {

namespace {

using Json = nlohmann::json;

/// Reads an optional string member.
///
/// \returns false when the member has a different type.
bool readOptionalString(const Json &Object, const char *Key, std::string &Target) {
  const auto Member = Object.find(Key);
  if (Member == Object.end())
    return true;
  if (!Member->is_string())
    return false;
  Target = Member->get<std::string>();
  return true;
}

/// Reads an optional non-negative number, multiplies it by \p Scale and rounds it down.
///
/// \returns false when the member is not a number or out of range.
template <typename T>
bool readScaledNumber(const Json &Object, const char *Key, T &Target, double Scale = 1.0) {
  const auto Member = Object.find(Key);
  if (Member == Object.end())
    return true;
  if (!Member->is_number())
    return false;
  // 1e-6 compensates for floating-point error: 0.29 * 1000 would be rounded down to 289.
  const double Value = std::floor(Member->get<double>() * Scale + 1e-6);
  constexpr double MaxValue = std::numeric_limits<std::int32_t>::max();
  if (!(Value >= 0) || Value > MaxValue)
    return false;
  Target = static_cast<T>(Value);
  return true;
}

std::optional<InstanceKind> parseInstanceKind(std::string_view Name) {
  if (Name == "entry")
    return InstanceKind::Entry;
  if (Name == "executor")
    return InstanceKind::Executor;
  if (Name == "worker")
    return InstanceKind::Worker;
  return std::nullopt;
}

bool readInstance(const Json &Object, Instance &Target, std::string &State) {
  return readOptionalString(Object, "name", Target.Name_) &&
         readOptionalString(Object, "domain", Target.Domain_) &&
         readOptionalString(Object, "region", Target.Region_) &&
         readOptionalString(Object, "rack", Target.Rack_) &&
         readOptionalString(Object, "address", Target.Address_) &&
         readOptionalString(Object, "pool", Target.Pool_) &&
         readOptionalString(Object, "state", State) &&
         readScaledNumber(Object, "slots", Target.Slots_) &&
         readScaledNumber(Object, "connections", Target.Connections_) &&
         readScaledNumber(Object, "cores", Target.Capacity_.MilliCores_, 1000.0) &&
         readScaledNumber(Object, "memory_mb", Target.Capacity_.MemoryMb_) &&
         readScaledNumber(Object, "accelerators", Target.Capacity_.Accelerators_) &&
         !Target.Name_.empty() && !Target.Address_.empty();
}

} // namespace

std::optional<std::vector<Instance>> parseInstances(std::string_view Body) {
  const Json Document = Json::parse(Body, nullptr, false);
  if (!Document.is_object())
    return std::nullopt;
  const auto Elements = Document.find("instances");
  if (Elements == Document.end() || !Elements->is_array())
    return std::nullopt;
  std::vector<Instance> Result;
  Result.reserve(Elements->size());
  for (const Json &Element : *Elements) {
    std::string Kind;
    std::string State;
    Instance Decoded;
    if (!Element.is_object() || !readOptionalString(Element, "kind", Kind) || Kind.empty())
      return std::nullopt;
    const auto ParsedKind = parseInstanceKind(Kind);
    if (!ParsedKind)
      continue;
    Decoded.Kind_ = *ParsedKind;
    if (!readInstance(Element, Decoded, State))
      return std::nullopt;
    Decoded.Leaving_ = State == "leaving";
    Result.push_back(std::move(Decoded));
  }
  return Result;
}

struct InstanceList::Impl : std::enable_shared_from_this<InstanceList::Impl> {
  Impl(http::Client &Http, core::Timers &Timers, InstanceListOptions Options,
       std::function<void()> OnChange)
      : Http_(Http), Timers_(Timers), Options_(std::move(Options)), OnChange_(std::move(OnChange)) {
  }

  void poll() {
    http::ClientRequest Request;
    {
      const std::lock_guard Lock(Mutex_);
      if (Stopped_)
        return;
      // The list takes some hundred kilobytes at the target cluster size, so the service sends it
      // only when it has changed.
      if (!ETag_.empty())
        Request.Headers_.emplace_back("If-None-Match", ETag_);
    }
    Request.Url_ = Options_.Url_;
    Request.Timeout_ = Options_.Timeout_;
    const core::TimePoint SentAt = core::Clock::now();
    Http_.send(std::move(Request),
               [WeakSelf = weak_from_this(), SentAt](const http::ClientResult &Result) {
                 if (const auto Self = WeakSelf.lock())
                   Self->handleResponse(Result, SentAt);
               });
  }

  void handleResponse(const http::ClientResult &Result, core::TimePoint SentAt) {
    core::count("masticdrift_control_bytes_total", {{"link", "instances"}, {"direction", "out"}},
                static_cast<double>(Result.BytesOut_));
    core::count("masticdrift_control_bytes_total", {{"link", "instances"}, {"direction", "in"}},
                static_cast<double>(Result.BytesIn_));
    std::optional<std::vector<Instance>> Parsed;
    const bool Complete = Result.Transfer_ == http::Transfer::Complete;
    if (Complete && Result.Answer_.Status_ == 200) {
      Parsed = parseInstances(Result.Answer_.Body_);
      if (!Parsed)
        core::log(core::LogLevel::Warning, "malformed instance list; keeping the last valid one");
      const std::lock_guard Lock(Mutex_);
      ETag_ = Parsed ? http::findHeader(Result.Answer_.Headers_, "ETag") : std::string_view();
    } else if (Complete && Result.Answer_.Status_ == 304) {
      refreshTimestamp(SentAt);
    }
    {
      // Held during OnChange_, so that stop() waits for a running callback.
      const std::lock_guard CallbackLock(CallbackMutex_);
      if (Parsed && replaceView(std::move(*Parsed), SentAt) && OnChange_)
        OnChange_();
    }
    const core::Duration Elapsed = core::Clock::now() - SentAt;
    const core::Duration Remaining = Options_.Interval_ - Elapsed;
    const std::lock_guard Lock(Mutex_);
    if (Stopped_)
      return;
    Timers_.after(std::max(Remaining, core::Duration::zero()), [WeakSelf = weak_from_this()] {
      if (const auto Self = WeakSelf.lock())
        Self->poll();
    });
  }

  /// Updates the timestamp of the stored list after a 304 response.
  void refreshTimestamp(core::TimePoint SentAt) {
    const std::lock_guard Lock(Mutex_);
    if (!Snapshot_)
      return;
    auto Refreshed = std::make_shared<InstanceSnapshot>(*Snapshot_);
    Refreshed->SentAt_ = SentAt;
    Snapshot_ = std::move(Refreshed);
  }

  /// Stores a new list.
  ///
  /// \returns true when the content changed and polling has not been stopped.
  bool replaceView(std::vector<Instance> Instances, core::TimePoint SentAt) {
    auto Snapshot = std::make_shared<InstanceSnapshot>();
    Snapshot->Instances_ = std::move(Instances);
    Snapshot->SentAt_ = SentAt;
    const std::lock_guard Lock(Mutex_);
    if (Stopped_)
      return false;
    const bool Changed = !Snapshot_ || Snapshot_->Instances_ != Snapshot->Instances_;
    Snapshot_ = std::move(Snapshot);
    return Changed;
  }

  http::Client &Http_;
  core::Timers &Timers_;
  const InstanceListOptions Options_;
  const std::function<void()> OnChange_;
  std::recursive_mutex CallbackMutex_; ///< recursive because OnChange_ may call stop()
  mutable std::mutex Mutex_;
  bool Started_ = false;
  bool Stopped_ = false;
  std::shared_ptr<const InstanceSnapshot> Snapshot_;
  std::string ETag_; ///< entity tag of the stored list
};

InstanceList::InstanceList(http::Client &Http, core::Timers &Timers, InstanceListOptions Options,
                           std::function<void()> OnChange)
    : Impl_(std::make_shared<Impl>(Http, Timers, std::move(Options), std::move(OnChange))) {}

InstanceList::~InstanceList() { stop(); }

void InstanceList::start() {
  {
    const std::lock_guard Lock(Impl_->Mutex_);
    if (std::exchange(Impl_->Started_, true))
      return;
  }
  Impl_->poll();
}

void InstanceList::stop() {
  const std::lock_guard CallbackLock(Impl_->CallbackMutex_);
  const std::lock_guard Lock(Impl_->Mutex_);
  Impl_->Stopped_ = true;
}

std::shared_ptr<const InstanceSnapshot> InstanceList::current() const {
  const std::lock_guard Lock(Impl_->Mutex_);
  return Impl_->Snapshot_;
}

std::optional<core::Duration> InstanceList::age(core::TimePoint Now) const {
  const auto Snapshot = current();
  if (!Snapshot)
    return std::nullopt;
  return Now - Snapshot->SentAt_;
}

} // namespace masticdrift::legacy
