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

/// A request while domains are tried one after another.
struct Journey {
  InteractiveRequest Request_;
  OutcomeCallback Done_;
  std::vector<DomainView> Domains_;
  std::vector<std::size_t> Order_; ///< into Domains_
  std::size_t Next_ = 0;           ///< position in Order_
  std::optional<Outcome> Earlier_; ///< of the last domain where the work may have run
};

/// \returns true for refusals that another domain may not repeat.
bool otherDomainMayHelp(ErrorKind Kind) {
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

protocol::Outcome protocolOutcome(const Outcome &From) {
  if (From.Kind_ == ErrorKind::None)
    return protocol::Outcome::Completed;
  switch (From.Ran_) {
  case core::RunState::NotRun:
    return protocol::Outcome::RefusedNotRun;
  case core::RunState::Ran:
    return protocol::Outcome::Failed;
  case core::RunState::MayHaveRun:
    break;
  }
  return protocol::Outcome::Unknown;
}

protocol::Answer toAnswer(Outcome From) {
  protocol::Answer To;
  To.Outcome_ = static_cast<std::uint8_t>(protocolOutcome(From));
  To.ErrorKind_ = static_cast<std::int32_t>(From.Kind_);
  To.Status_ = From.Status_;
  To.ContentType_ = std::move(From.ContentType_);
  To.Body_ = std::move(From.Body_);
  To.Message_ = std::move(From.Message_);
  To.RunState_ = static_cast<std::uint8_t>(From.Ran_);
  return To;
}

Outcome fromAnswer(protocol::Answer From) {
  Outcome To;
  To.Kind_ = static_cast<ErrorKind>(From.ErrorKind_);
  To.Message_ = std::move(From.Message_);
  To.Ran_ = static_cast<core::RunState>(From.RunState_);
  To.Status_ = From.Status_;
  To.ContentType_ = std::move(From.ContentType_);
  To.Body_ = std::move(From.Body_);
  return To;
}

protocol::Forward toForward(const InteractiveRequest &From, TimePoint Now) {
  protocol::Forward To;
  To.RequestId_ = From.RequestId_;
  To.Team_ = From.Team_;
  To.KeyId_ = From.KeyId_;
  To.Queue_ = From.Queue_;
  To.Pool_ = From.Pool_;
  To.Idempotent_ = From.Idempotent_;
  To.DeadlineMs_ = core::toMillis(From.Deadline_ - Now);
  To.HopCount_ = 1;
  To.Body_ = From.Body_;
  To.ContentType_ = From.ContentType_;
  return To;
}

InteractiveRequest fromForward(protocol::Forward From, TimePoint Now) {
  InteractiveRequest To;
  To.RequestId_ = std::move(From.RequestId_);
  To.Team_ = std::move(From.Team_);
  To.KeyId_ = std::move(From.KeyId_);
  To.Queue_ = std::move(From.Queue_);
  To.Pool_ = std::move(From.Pool_);
  To.Idempotent_ = From.Idempotent_;
  To.Deadline_ = Now + core::Millis(From.DeadlineMs_);
  To.ContentType_ = std::move(From.ContentType_);
  To.Body_ = std::move(From.Body_);
  return To;
}

} // namespace

struct Router::Impl : std::enable_shared_from_this<Impl> {
  Impl(RouterOptions Options, protocol::Link &Peers, Dispatcher &Local,
       std::function<std::vector<DomainView>()> Domains)
      : Options_(std::move(Options)), Peers_(Peers), Local_(Local), Domains_(std::move(Domains)) {
    Budget_.TokensPerRequest_ = Options_.RetryPercent_ * 10;
  }

  void submit(InteractiveRequest Request, OutcomeCallback Done) {
    {
      const std::lock_guard Lock(BudgetMutex_);
      policy::countRequest(Budget_);
    }
    ++InFlight_;
    auto Trip = std::make_shared<Journey>();
    Trip->Request_ = std::move(Request);
    Trip->Done_ = std::move(Done);
    Trip->Domains_ = Domains_();
    Trip->Order_ = chooseDomains(Trip->Domains_, Options_.Domain_, Options_.Region_);
    if (Trip->Order_.empty())
      return finish(*Trip,
                    failed(ErrorKind::NoUpstream, "no failure domain has a reachable owner"));
    attempt(Trip);
  }

  void attempt(const std::shared_ptr<Journey> &Trip) {
    const DomainView &Target = Trip->Domains_[Trip->Order_[Trip->Next_]];
    if (Target.Owner_ == Options_.Self_) {
      Local_.submit(Trip->Request_, [Self = shared_from_this(), Trip](Outcome Result) {
        Self->answered(Trip, std::move(Result));
      });
      return;
    }
    const TimePoint Now = core::Clock::now();
    const core::Duration Left = Trip->Request_.Deadline_ - Now;
    core::count("masticdrift_forwards_total", {{"domain", Target.Name_}});
    Peers_.call(
        Target.Owner_, protocol::MessageKind::Forward, core::pack(toForward(Trip->Request_, Now)),
        Left + Options_.AnswerGrace_,
        [Self = shared_from_this(), Trip](std::error_code Error, const protocol::Envelope &Reply) {
          Self->answered(Trip, resultOf(Error, Reply));
        });
  }

  static Outcome resultOf(std::error_code Error, const protocol::Envelope &Reply) {
    if (Error) {
      const ErrorKind Kind = core::kindOf(Error);
      return failed(Kind, Kind == ErrorKind::OutcomeUnknown ? "the owner did not answer in time"
                                                            : "the owner is not reachable");
    }
    auto Answer = core::unpack<protocol::Answer>(Reply.Body_);
    if (!Answer)
      return failed(ErrorKind::OutcomeUnknown, "the owner's answer is malformed");
    return fromAnswer(std::move(*Answer));
  }

  void answered(const std::shared_ptr<Journey> &Trip, Outcome Result) {
    if (Result.Kind_ != ErrorKind::None && !certainlyNotRun(Result))
      Trip->Earlier_ = Result;
    if (mayTryNext(*Trip, Result)) {
      ++Trip->Next_;
      core::count("masticdrift_retries_total", {{"where", "domain"}});
      return attempt(Trip);
    }
    finish(*Trip, std::move(Result));
  }

  bool mayTryNext(const Journey &Trip, const Outcome &Result) {
    if (Result.Kind_ == ErrorKind::None || Trip.Next_ + 1 >= Trip.Order_.size() ||
        core::Clock::now() >= Trip.Request_.Deadline_)
      return false;
    if (certainlyNotRun(Result))
      return otherDomainMayHelp(Result.Kind_);
    // The work may have run: only an idempotent request may be sent again, and only within the
    // budget.
    if (!Trip.Request_.Idempotent_)
      return false;
    const std::lock_guard Lock(BudgetMutex_);
    return policy::takeRetry(Budget_);
  }

  void finish(const Journey &Trip, Outcome Result) {
    --InFlight_;
    // A domain that did not run the request says nothing about an earlier one that may have.
    if (Trip.Earlier_ && certainlyNotRun(Result))
      Result = *Trip.Earlier_;
    Trip.Done_(std::move(Result));
  }

  void onForward(const protocol::Envelope &Message) {
    auto Forwarded = core::unpack<protocol::Forward>(Message.Body_);
    if (!Forwarded)
      return reply(Message, failed(ErrorKind::MalformedMessage, "Forward is malformed"));
    if (Refusing_)
      return reply(Message, failed(ErrorKind::Stopping, "the owner is shutting down"));
    if (Forwarded->HopCount_ > 1)
      return reply(Message, failed(ErrorKind::ForwardLimit, "request was forwarded already"));
    ++InFlight_;
    Local_.submit(fromForward(std::move(*Forwarded), core::Clock::now()),
                  [Self = shared_from_this(), Message](Outcome Result) {
                    --Self->InFlight_;
                    Self->reply(Message, std::move(Result));
                  });
  }

  void reply(const protocol::Envelope &To, Outcome Result) {
    Peers_.reply(To, protocol::MessageKind::Answer, core::pack(toAnswer(std::move(Result))));
  }

  const RouterOptions Options_;
  protocol::Link &Peers_;
  Dispatcher &Local_;
  const std::function<std::vector<DomainView>()> Domains_;
  std::atomic<std::int64_t> InFlight_{0};
  std::atomic<bool> Refusing_{false};
  std::mutex BudgetMutex_;
  policy::RetryBudget Budget_;
};

Router::Router(RouterOptions Options, protocol::Link &Peers, Dispatcher &Local,
               std::function<std::vector<DomainView>()> Domains)
    : Impl_(std::make_shared<Impl>(std::move(Options), Peers, Local, std::move(Domains))) {}

Router::~Router() = default;

void Router::submit(InteractiveRequest Request, OutcomeCallback Done) {
  Impl_->submit(std::move(Request), std::move(Done));
}

void Router::onForward(const protocol::Envelope &Message) { Impl_->onForward(Message); }

std::size_t Router::reachableDomains() const {
  return chooseDomains(Impl_->Domains_(), Impl_->Options_.Domain_, Impl_->Options_.Region_).size();
}

void Router::refuseForwards() { Impl_->Refusing_ = true; }

std::int64_t Router::inFlight() const { return Impl_->InFlight_; }

} // namespace masticdrift::routing
