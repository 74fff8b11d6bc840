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

/// Reads an optional string; \returns false when it has another type.
bool readText(const Json &From, const char *Key, std::string &To) {
  const auto Found = From.find(Key);
  if (Found == From.end())
    return true;
  if (!Found->is_string())
    return false;
  To = Found->get<std::string>();
  return true;
}

/// Reads an optional non-negative number, scaled and rounded down.
template <typename T>
bool readAmount(const Json &From, const char *Key, T &To, double Scale = 1.0) {
  const auto Found = From.find(Key);
  if (Found == From.end())
    return true;
  if (!Found->is_number())
    return false;
  // The addend keeps products such as 0.29 * 1000 from being rounded down to 289.
  const double Value = std::floor(Found->get<double>() * Scale + 1e-6);
  constexpr double Limit = std::numeric_limits<std::int32_t>::max();
  if (!(Value >= 0) || Value > Limit)
    return false;
  To = static_cast<T>(Value);
  return true;
}

std::optional<InstanceKind> kindNamed(std::string_view Name) {
  if (Name == "entry")
    return InstanceKind::Entry;
  if (Name == "executor")
    return InstanceKind::Executor;
  if (Name == "worker")
    return InstanceKind::Worker;
  return std::nullopt;
}

bool readInstance(const Json &From, Instance &To, std::string &State) {
  return readText(From, "name", To.Name_) && readText(From, "domain", To.Domain_) &&
         readText(From, "region", To.Region_) && readText(From, "rack", To.Rack_) &&
         readText(From, "address", To.Address_) && readText(From, "pool", To.Pool_) &&
         readText(From, "state", State) && readAmount(From, "slots", To.Slots_) &&
         readAmount(From, "connections", To.Connections_) &&
         readAmount(From, "cores", To.Capacity_.MilliCores_, 1000.0) &&
         readAmount(From, "memory_mb", To.Capacity_.MemoryMb_) &&
         readAmount(From, "accelerators", To.Capacity_.Accelerators_) && !To.Name_.empty() &&
         !To.Address_.empty();
}

} // namespace

std::optional<std::vector<Instance>> parseInstances(std::string_view Text) {
  const Json Document = Json::parse(Text, nullptr, false);
  if (!Document.is_object())
    return std::nullopt;
  const auto List = Document.find("instances");
  if (List == Document.end() || !List->is_array())
    return std::nullopt;
  std::vector<Instance> Result;
  Result.reserve(List->size());
  for (const Json &Element : *List) {
    std::string Kind;
    std::string State;
    Instance One;
    if (!Element.is_object() || !readText(Element, "kind", Kind) || Kind.empty())
      return std::nullopt;
    const auto Known = kindNamed(Kind);
    if (!Known)
      continue;
    One.Kind_ = *Known;
    if (!readInstance(Element, One, State))
      return std::nullopt;
    One.Leaving_ = State == "leaving";
    Result.push_back(std::move(One));
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
      // At the target size the list has some hundred kilobytes, so an unchanged one is not sent
      // again.
      if (!Tag_.empty())
        Request.Headers_.emplace_back("If-None-Match", Tag_);
    }
    Request.Url_ = Options_.Url_;
    Request.Timeout_ = Options_.Timeout_;
    const core::TimePoint SentAt = core::Clock::now();
    Http_.send(std::move(Request),
               [Weak = weak_from_this(), SentAt](const http::ClientResult &Result) {
                 if (const auto Self = Weak.lock())
                   Self->received(Result, SentAt);
               });
  }

  void received(const http::ClientResult &Result, core::TimePoint SentAt) {
    core::count("masticdrift_control_bytes_total", {{"link", "instances"}, {"direction", "out"}},
                static_cast<double>(Result.BytesOut_));
    core::count("masticdrift_control_bytes_total", {{"link", "instances"}, {"direction", "in"}},
                static_cast<double>(Result.BytesIn_));
    std::optional<std::vector<Instance>> Parsed;
    const bool Complete = Result.Transfer_ == http::Transfer::Complete;
    if (Complete && Result.Answer_.Status_ == 200) {
      Parsed = parseInstances(Result.Answer_.Body_);
      if (!Parsed)
        core::log(core::LogLevel::Warning, "instance list is malformed; the last one is kept");
      const std::lock_guard Lock(Mutex_);
      Tag_ = Parsed ? http::findHeader(Result.Answer_.Headers_, "ETag") : std::string_view();
    } else if (Complete && Result.Answer_.Status_ == 304) {
      confirm(SentAt);
    }
    {
      // Held during OnChange_, so that stop() returns only after a running call.
      const std::lock_guard CallLock(CallMutex_);
      if (Parsed && take(std::move(*Parsed), SentAt) && OnChange_)
        OnChange_();
    }
    const core::Duration Spent = core::Clock::now() - SentAt;
    const core::Duration Left = Options_.Interval_ - Spent;
    const std::lock_guard Lock(Mutex_);
    if (Stopped_)
      return;
    Timers_.after(std::max(Left, core::Duration::zero()), [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->poll();
    });
  }

  /// \returns true when the content changed and polling has not been stopped.
  /// The list that is kept was still the current one.
  void confirm(core::TimePoint SentAt) {
    const std::lock_guard Lock(Mutex_);
    if (!View_)
      return;
    auto Same = std::make_shared<InstanceView>(*View_);
    Same->SentAt_ = SentAt;
    View_ = std::move(Same);
  }

  bool take(std::vector<Instance> Instances, core::TimePoint SentAt) {
    auto View = std::make_shared<InstanceView>();
    View->Instances_ = std::move(Instances);
    View->SentAt_ = SentAt;
    const std::lock_guard Lock(Mutex_);
    if (Stopped_)
      return false;
    const bool Changed = !View_ || View_->Instances_ != View->Instances_;
    View_ = std::move(View);
    return Changed;
  }

  http::Client &Http_;
  core::Timers &Timers_;
  const InstanceListOptions Options_;
  const std::function<void()> OnChange_;
  std::recursive_mutex CallMutex_; ///< recursive: OnChange_ may call stop()
  mutable std::mutex Mutex_;
  bool Started_ = false;
  bool Stopped_ = false;
  std::shared_ptr<const InstanceView> View_;
  std::string Tag_; ///< entity tag of the list that is kept
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
  const std::lock_guard CallLock(Impl_->CallMutex_);
  const std::lock_guard Lock(Impl_->Mutex_);
  Impl_->Stopped_ = true;
}

std::shared_ptr<const InstanceView> InstanceList::current() const {
  const std::lock_guard Lock(Impl_->Mutex_);
  return Impl_->View_;
}

std::optional<core::Duration> InstanceList::age(core::TimePoint Now) const {
  const auto View = current();
  if (!View)
    return std::nullopt;
  return Now - View->SentAt_;
}

} // namespace masticdrift::legacy
