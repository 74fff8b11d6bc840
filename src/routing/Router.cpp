#include "masticdrift/routing/Router.h"

#include "masticdrift/core/Metrics.h"
#include "masticdrift/policy/RetryBudget.h"

#include <atomic>
#include <mutex>
#include <optional>

namespace masticdrift::routing {

namespace {

using core::ErrorKind;
using core::TimePoint;

/// A request and the ranked domains that are tried for it one after another.
struct RoutedRequest {
  InteractiveRequest Request_;
  OutcomeCallback OnDone_;
  std::vector<DomainView> Domains_;
  std::vector<std::size_t> RankedDomains_; ///< indexes into Domains_
  std::size_t Position_ = 0;               ///< current index into RankedDomains_
  std::optional<Outcome> EarlierOutcome_;  ///< of the last domain in which the work may have run
};

/// \returns true for errors that another domain may not return.
bool mayRetryInOtherDomain(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::QueueFull:
  case ErrorKind::TeamLimit:
  case ErrorKind::NoUpstream:
  case ErrorKind::UpstreamRefused:
  case ErrorKind::NotOwner:
  case ErrorKind::LeaseLapsed:
  case ErrorKind::PeerUnreachable:
  case ErrorKind::Stopping:
  case ErrorKind::DeadlineExpired:
    return true;
  default:
    return false;
  }
}

protocol::Outcome toProtocolOutcome(const Outcome &Result) {
  if (Result.Kind_ == ErrorKind::None)
    return protocol::Outcome::Completed;
  switch (Result.Ran_) {
  case core::RunState::NotRun:
    return protocol::Outcome::RefusedNotRun;
  case core::RunState::Ran:
    return protocol::Outcome::Failed;
  case core::RunState::MayHaveRun:
    break;
  }
  return protocol::Outcome::Unknown;
}

protocol::Answer toAnswer(Outcome Result) {
  protocol::Answer Message;
  Message.Outcome_ = static_cast<std::uint8_t>(toProtocolOutcome(Result));
  Message.ErrorKind_ = static_cast<std::int32_t>(Result.Kind_);
  Message.Status_ = Result.Status_;
  Message.ContentType_ = std::move(Result.ContentType_);
  Message.Body_ = std::move(Result.Body_);
  Message.Message_ = std::move(Result.Message_);
  Message.RunState_ = static_cast<std::uint8_t>(Result.Ran_);
  return Message;
}

Outcome fromAnswer(protocol::Answer Message) {
  Outcome Result;
  Result.Kind_ = static_cast<ErrorKind>(Message.ErrorKind_);
  Result.Message_ = std::move(Message.Message_);
  Result.Ran_ = static_cast<core::RunState>(Message.RunState_);
  Result.Status_ = Message.Status_;
  Result.ContentType_ = std::move(Message.ContentType_);
  Result.Body_ = std::move(Message.Body_);
  return Result;
}

protocol::Forward toForward(const InteractiveRequest &Request, TimePoint Now) {
  protocol::Forward Message;
  Message.RequestId_ = Request.RequestId_;
  Message.Team_ = Request.Team_;
  Message.KeyId_ = Request.KeyId_;
  Message.Queue_ = Request.Queue_;
  Message.Pool_ = Request.Pool_;
  Message.Idempotent_ = Request.Idempotent_;
  Message.DeadlineMs_ = core::toMillis(Request.Deadline_ - Now);
  Message.HopCount_ = 1;
  Message.Body_ = Request.Body_;
  Message.ContentType_ = Request.ContentType_;
  return Message;
}

InteractiveRequest fromForward(protocol::Forward Message, TimePoint Now) {
  InteractiveRequest Request;
  Request.RequestId_ = std::move(Message.RequestId_);
  Request.Team_ = std::move(Message.Team_);
  Request.KeyId_ = std::move(Message.KeyId_);
  Request.Queue_ = std::move(Message.Queue_);
  Request.Pool_ = std::move(Message.Pool_);
  Request.Idempotent_ = Message.Idempotent_;
  Request.Deadline_ = Now + core::Millis(Message.DeadlineMs_);
  Request.ContentType_ = std::move(Message.ContentType_);
  Request.Body_ = std::move(Message.Body_);
  return Request;
}

} // namespace

struct Router::Impl : std::enable_shared_from_this<Impl> {
  Impl(RouterOptions Options, protocol::Link &PeerLink, Dispatcher &LocalDispatcher,
       std::function<std::vector<DomainView>()> ListDomains)
      : Options_(std::move(Options)), PeerLink_(PeerLink), LocalDispatcher_(LocalDispatcher),
        ListDomains_(std::move(ListDomains)) {
    RetryBudget_.TokensPerRequest_ = Options_.RetryPercent_ * 10;
  }

  void submit(InteractiveRequest Request, OutcomeCallback OnDone) {
    {
      const std::lock_guard Lock(RetryBudgetMutex_);
      policy::countRequest(RetryBudget_);
    }
    ++InFlight_;
    auto Routed = std::make_shared<RoutedRequest>();
    Routed->Request_ = std::move(Request);
    Routed->OnDone_ = std::move(OnDone);
    Routed->Domains_ = ListDomains_();
    Routed->RankedDomains_ = rankDomains(Routed->Domains_, Options_.Domain_, Options_.Region_);
    if (Routed->RankedDomains_.empty())
      return finish(
          *Routed, failedOutcome(ErrorKind::NoUpstream, "no failure domain has a reachable owner"));
    sendToDomain(Routed);
  }

  void sendToDomain(const std::shared_ptr<RoutedRequest> &Routed) {
    const DomainView &TargetDomain = Routed->Domains_[Routed->RankedDomains_[Routed->Position_]];
    if (TargetDomain.Owner_ == Options_.InstanceName_) {
      LocalDispatcher_.submit(Routed->Request_,
                              [Self = shared_from_this(), Routed](Outcome Result) {
                                Self->onOutcome(Routed, std::move(Result));
                              });
      return;
    }
    const TimePoint Now = core::Clock::now();
    const core::Duration RemainingTime = Routed->Request_.Deadline_ - Now;
    core::count("masticdrift_forwards_total", {{"domain", TargetDomain.Name_}});
    PeerLink_.call(TargetDomain.Owner_, protocol::MessageKind::Forward,
                   core::pack(toForward(Routed->Request_, Now)),
                   RemainingTime + Options_.AnswerGrace_,
                   [Self = shared_from_this(), Routed](std::error_code Error,
                                                       const protocol::Envelope &Reply) {
                     Self->onOutcome(Routed, toOutcome(Error, Reply));
                   });
  }

  static Outcome toOutcome(std::error_code Error, const protocol::Envelope &Reply) {
    if (Error) {
      const ErrorKind Kind = core::kindOf(Error);
      return failedOutcome(Kind, Kind == ErrorKind::OutcomeUnknown
                                     ? "the domain's owner did not answer in time"
                                     : "the domain's owner is not reachable");
    }
    auto Answer = core::unpack<protocol::Answer>(Reply.Body_);
    if (!Answer)
      return failedOutcome(ErrorKind::OutcomeUnknown,
                           "the answer of the domain's owner is malformed");
    return fromAnswer(std::move(*Answer));
  }

  void onOutcome(const std::shared_ptr<RoutedRequest> &Routed, Outcome Result) {
    if (Result.Kind_ != ErrorKind::None && !certainlyNotRun(Result))
      Routed->EarlierOutcome_ = Result;
    if (mayTryNextDomain(*Routed, Result)) {
      ++Routed->Position_;
      core::count("masticdrift_retries_total", {{"where", "domain"}});
      return sendToDomain(Routed);
    }
    finish(*Routed, std::move(Result));
  }

  bool mayTryNextDomain(const RoutedRequest &Routed, const Outcome &Result) {
    if (Result.Kind_ == ErrorKind::None || Routed.Position_ + 1 >= Routed.RankedDomains_.size() ||
        core::Clock::now() >= Routed.Request_.Deadline_)
      return false;
    if (certainlyNotRun(Result))
      return mayRetryInOtherDomain(Result.Kind_);
    // The work may have run, so only an idempotent request is sent again, within the retry budget.
    if (!Routed.Request_.Idempotent_)
      return false;
    const std::lock_guard Lock(RetryBudgetMutex_);
    return policy::takeRetry(RetryBudget_);
  }

  void finish(const RoutedRequest &Routed, Outcome Result) {
    --InFlight_;
    // If the last domain did not run the request, an earlier domain that may have run it determines
    // the outcome.
    if (Routed.EarlierOutcome_ && certainlyNotRun(Result))
      Result = *Routed.EarlierOutcome_;
    Routed.OnDone_(std::move(Result));
  }

  void onForward(const protocol::Envelope &Message) {
    auto Forwarded = core::unpack<protocol::Forward>(Message.Body_);
    if (!Forwarded)
      return reply(Message,
                   failedOutcome(ErrorKind::MalformedMessage, "the Forward message is malformed"));
    if (RefuseForwards_)
      return reply(Message,
                   failedOutcome(ErrorKind::Stopping, "the domain's owner is shutting down"));
    if (Forwarded->HopCount_ > 1)
      return reply(Message,
                   failedOutcome(ErrorKind::ForwardLimit, "request was forwarded already"));
    ++InFlight_;
    LocalDispatcher_.submit(fromForward(std::move(*Forwarded), core::Clock::now()),
                            [Self = shared_from_this(), Message](Outcome Result) {
                              --Self->InFlight_;
                              Self->reply(Message, std::move(Result));
                            });
  }

  void reply(const protocol::Envelope &Request, Outcome Result) {
    PeerLink_.reply(Request, protocol::MessageKind::Answer,
                    core::pack(toAnswer(std::move(Result))));
  }

  const RouterOptions Options_;
  protocol::Link &PeerLink_;
  Dispatcher &LocalDispatcher_;
  const std::function<std::vector<DomainView>()> ListDomains_;
  std::atomic<std::int64_t> InFlight_{0};
  std::atomic<bool> RefuseForwards_{false};
  std::mutex RetryBudgetMutex_;
  policy::RetryBudget RetryBudget_;
};

Router::Router(RouterOptions Options, protocol::Link &PeerLink, Dispatcher &LocalDispatcher,
               std::function<std::vector<DomainView>()> ListDomains)
    : Impl_(std::make_shared<Impl>(std::move(Options), PeerLink, LocalDispatcher,
                                   std::move(ListDomains))) {}

Router::~Router() = default;

void Router::submit(InteractiveRequest Request, OutcomeCallback OnDone) {
  Impl_->submit(std::move(Request), std::move(OnDone));
}

void Router::onForward(const protocol::Envelope &Message) { Impl_->onForward(Message); }

std::size_t Router::reachableDomains() const {
  return rankDomains(Impl_->ListDomains_(), Impl_->Options_.Domain_, Impl_->Options_.Region_)
      .size();
}

void Router::refuseForwards() { Impl_->RefuseForwards_ = true; }

std::int64_t Router::inFlight() const { return Impl_->InFlight_; }

} // namespace masticdrift::routing
