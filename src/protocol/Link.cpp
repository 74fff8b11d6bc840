#include "masticdrift/protocol/Link.h"

#include "masticdrift/core/Log.h"
#include "masticdrift/core/Metrics.h"
#include "masticdrift/core/Timers.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <stdexcept>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace masticdrift::protocol {

namespace {

using core::ErrorKind;
using core::TimePoint;

constexpr nng_duration RedialMinMs = 50;
constexpr nng_duration RedialMaxMs = 500;
/// Interval at which receiver threads check for a stop; it bounds the duration of a stop. The
/// threads must not rely on nng_close() to wake them: nng 1.5.2 can miss a receiver while its
/// socket is being closed, and then neither call returns.
constexpr nng_duration ReceiveTimeoutMs = 25;
/// Allowance for the envelope fields, so that a body of the maximum size still fits.
constexpr std::size_t EnvelopeOverheadBytes = 4096;

/// \returns the time of the boot clock in milliseconds.
std::int64_t bootMillis() { return core::toMillis(core::Clock::now().time_since_epoch()); }

/// A message that nng has not accepted yet.
struct QueuedMessage {
  std::uint64_t CallId_ = 0; ///< 0 when no call is waiting for a reply
  TimePoint Deadline_;
  Envelope Frame_;
};

/// Estimates how long messages of one sender were delayed, relative to its fastest message.
///
/// The offset between the two clocks is unknown. The smallest difference seen serves as its
/// estimate, so a message that was delayed in a connection shows a larger difference.
class DelayFilter {
public:
  /// \returns the delay beyond that of the fastest message, in milliseconds.
  std::int64_t excessDelayMs(std::uint64_t Incarnation, std::int64_t SentMs, std::int64_t NowMs) {
    const std::int64_t DifferenceMs = NowMs - SentMs;
    if (Incarnation != Incarnation_) {
      Incarnation_ = Incarnation;
      MinDifferenceMs_ = DifferenceMs;
      LastAdjustedMs_ = NowMs;
      return 0;
    }
    // Raises the estimate by 1/2000 of the elapsed time, which exceeds the drift of any working
    // clock.
    const std::int64_t DriftAllowanceMs = (NowMs - LastAdjustedMs_) / 2000;
    if (DriftAllowanceMs > 0) {
      MinDifferenceMs_ += DriftAllowanceMs;
      LastAdjustedMs_ = NowMs;
    }
    MinDifferenceMs_ = std::min(MinDifferenceMs_, DifferenceMs);
    return DifferenceMs - MinDifferenceMs_;
  }

private:
  std::uint64_t Incarnation_ = 0;
  std::int64_t MinDifferenceMs_ = 0;
  std::int64_t LastAdjustedMs_ = 0;
};

/// Connections younger than this are not replaced.
constexpr core::Millis MinAgeToReplace{200};
/// Delay before a replaced or removed connection is closed.
constexpr core::Millis CloseDelay{5000};

/// Push socket to one peer. nng reconnects automatically while the socket is open.
class Connection {
public:
  /// Called when nng did not accept a message, so nothing was sent.
  using DropCallback = std::function<void(std::uint64_t CallId)>;
  /// Called immediately before a message is handed to nng.
  using HandoffCallback = std::function<void(std::uint64_t CallId)>;

  Connection(const std::string &Address, std::size_t MaxMessages, std::size_t MaxBytes,
             HandoffCallback OnHandoff, DropCallback OnDrop)
      : MaxMessages_(MaxMessages), MaxBytes_(MaxBytes), OnHandoff_(std::move(OnHandoff)),
        OnDrop_(std::move(OnDrop)) {
    if (nng_push0_open(&Socket_) != 0)
      throw std::runtime_error("cannot open the nng push socket of a peer");
    nng_aio_alloc(
        &Aio_, [](void *Self) { static_cast<Connection *>(Self)->onSent(); }, this);
    nng_socket_set_ms(Socket_, NNG_OPT_RECONNMINT, RedialMinMs);
    nng_socket_set_ms(Socket_, NNG_OPT_RECONNMAXT, RedialMaxMs);
    const auto Notify = [](nng_pipe, nng_pipe_ev Event, void *Self) {
      static_cast<Connection *>(Self)->onPipeEvent(Event);
    };
    nng_pipe_notify(Socket_, NNG_PIPE_EV_ADD_POST, Notify, this);
    nng_pipe_notify(Socket_, NNG_PIPE_EV_REM_POST, Notify, this);
    if (const int Error =
            nng_dial(Socket_, ("tcp://" + Address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
        Error != 0)
      core::log(core::LogLevel::Warning, "cannot dial peer",
                {{"address", Address}, {"error", nng_strerror(Error)}});
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Waits for running callbacks; must not be called from one.
  ~Connection() {
    {
      const std::lock_guard Lock(Mutex_);
      Closed_ = true;
    }
    nng_close(Socket_);
    nng_aio_stop(Aio_);
    nng_aio_free(Aio_);
    dropQueued();
  }

  /// Stops sending: queued messages are dropped and the message held by nng is cancelled.
  void retire() {
    {
      const std::lock_guard Lock(Mutex_);
      Closed_ = true;
    }
    nng_aio_cancel(Aio_);
    dropQueued();
  }

  /// \returns whether the connection has had time to connect and may be replaced.
  bool oldEnoughToReplace() const { return core::Clock::now() - CreatedAt_ >= MinAgeToReplace; }

  bool connected() const {
    const std::lock_guard Lock(Mutex_);
    return OpenPipes_ > 0 && !Closed_;
  }

  /// \returns false when the peer is not connected or the queue is full.
  bool enqueue(QueuedMessage Message) {
    {
      const std::lock_guard Lock(Mutex_);
      if (Closed_ || OpenPipes_ <= 0 || Queue_.size() >= MaxMessages_ ||
          QueuedBytes_ + Message.Frame_.Body_.size() > MaxBytes_)
        return false;
      QueuedBytes_ += Message.Frame_.Body_.size();
      Queue_.push_back(std::move(Message));
    }
    sendNext();
    return true;
  }

private:
  void onPipeEvent(nng_pipe_ev Event) {
    if (Event == NNG_PIPE_EV_ADD_POST) {
      const std::lock_guard Lock(Mutex_);
      ++OpenPipes_;
      return;
    }
    bool Disconnected = false;
    {
      const std::lock_guard Lock(Mutex_);
      Disconnected = --OpenPipes_ <= 0;
    }
    if (Disconnected) {
      // The message that nng still holds must not be sent on a later connection.
      nng_aio_cancel(Aio_);
      dropQueued();
    }
  }

  void dropQueued() {
    std::deque<QueuedMessage> DroppedMessages;
    {
      const std::lock_guard Lock(Mutex_);
      DroppedMessages.swap(Queue_);
      QueuedBytes_ = 0;
    }
    for (const auto &Message : DroppedMessages)
      if (Message.CallId_ != 0)
        OnDrop_(Message.CallId_);
  }

  /// Passes the next message to nng unless a send is in progress.
  void sendNext() {
    std::vector<std::uint64_t> Expired;
    nng_msg *NngMessage = nullptr;
    {
      const std::lock_guard Lock(Mutex_);
      while (!Closed_ && !Sending_ && OpenPipes_ > 0 && !Queue_.empty() && NngMessage == nullptr) {
        QueuedMessage Next = std::move(Queue_.front());
        Queue_.pop_front();
        QueuedBytes_ -= Next.Frame_.Body_.size();
        const std::int64_t RemainingMs = core::toMillis(Next.Deadline_ - core::Clock::now());
        if (RemainingMs <= 0) {
          Expired.push_back(Next.CallId_);
          continue;
        }
        Next.Frame_.DeadlineMs_ = RemainingMs;
        Next.Frame_.SentMs_ = bootMillis();
        const std::string Bytes = core::pack(Next.Frame_);
        if (nng_msg_alloc(&NngMessage, 0) != 0 ||
            nng_msg_append(NngMessage, Bytes.data(), Bytes.size()) != 0) {
          Expired.push_back(Next.CallId_);
          if (NngMessage != nullptr)
            nng_msg_free(NngMessage);
          NngMessage = nullptr;
          continue;
        }
        Sending_ = true;
        InFlightCallId_ = Next.CallId_;
        InFlightBytes_ = Bytes.size();
        nng_aio_set_msg(Aio_, NngMessage);
        nng_aio_set_timeout(Aio_, static_cast<nng_duration>(RemainingMs));
      }
    }
    for (const auto CallId : Expired)
      if (CallId != 0)
        OnDrop_(CallId);
    if (NngMessage != nullptr) {
      OnHandoff_(InFlightCallId_);
      nng_send_aio(Socket_, Aio_);
    }
  }

  void onSent() {
    std::uint64_t CallId = 0;
    std::size_t Bytes = 0;
    const int Error = nng_aio_result(Aio_);
    {
      const std::lock_guard Lock(Mutex_);
      CallId = InFlightCallId_;
      Bytes = InFlightBytes_;
    }
    if (Error != 0) {
      // The aio still owns the message when the socket has not accepted it.
      if (nng_msg *Unsent = nng_aio_get_msg(Aio_); Unsent != nullptr) {
        nng_msg_free(Unsent);
        nng_aio_set_msg(Aio_, nullptr);
      }
      if (CallId != 0)
        OnDrop_(CallId);
    } else {
      core::count("masticdrift_peer_bytes_total", {{"direction", "out"}},
                  static_cast<double>(Bytes));
    }
    {
      const std::lock_guard Lock(Mutex_);
      Sending_ = false;
      InFlightCallId_ = 0;
    }
    sendNext();
  }

  const core::TimePoint CreatedAt_ = core::Clock::now();
  const std::size_t MaxMessages_;
  const std::size_t MaxBytes_;
  HandoffCallback OnHandoff_;
  DropCallback OnDrop_;
  nng_socket Socket_ = NNG_SOCKET_INITIALIZER;
  nng_aio *Aio_ = nullptr;
  mutable std::mutex Mutex_;
  std::deque<QueuedMessage> Queue_;
  std::size_t QueuedBytes_ = 0;
  int OpenPipes_ = 0;
  bool Sending_ = false;
  bool Closed_ = false;
  std::uint64_t InFlightCallId_ = 0;
  std::size_t InFlightBytes_ = 0;
};

} // namespace

struct Link::Impl {
  struct OpenCall {
    std::string Peer_;
    MessageKind ExpectedKind_{};
    bool HandedToNng_ = false; ///< the message may have been sent
    Callback Done_;
  };

  Impl(LinkOptions Options, Handler OnMessage)
      : Options_(std::move(Options)), OnMessage_(std::move(OnMessage)) {
    std::random_device Random;
    // Starts at a random id, so that replies to an earlier incarnation match no call of this one.
    NextCallId_ = (static_cast<std::uint64_t>(Random()) << 32U) | 1U;
    if (nng_pull0_open(&PullSocket_) != 0)
      throw std::runtime_error("cannot open the nng pull socket of the link");
    nng_socket_set_ms(PullSocket_, NNG_OPT_RECVTIMEO, ReceiveTimeoutMs);
    nng_socket_set_size(PullSocket_, NNG_OPT_RECVMAXSZ,
                        Options_.MaxMessageBytes_ + EnvelopeOverheadBytes);
    nng_listener Listener = NNG_LISTENER_INITIALIZER;
    int Error =
        nng_listener_create(&Listener, PullSocket_, ("tcp://" + Options_.ListenAddress_).c_str());
    if (Error == 0)
      Error = nng_listener_start(Listener, 0);
    int Port = 0;
    if (Error == 0)
      Error = nng_listener_get_int(Listener, NNG_OPT_TCP_BOUND_PORT, &Port);
    if (Error != 0) {
      nng_close(PullSocket_);
      throw std::runtime_error("cannot listen on " + Options_.ListenAddress_ + ": " +
                               nng_strerror(Error));
    }
    Port_ = static_cast<std::uint16_t>(Port);
    for (auto &Receiver : ReceiverThreads_)
      Receiver = std::thread([this] { receive(); });
  }

  void receive() {
    while (!StopReceivers_) {
      nng_msg *Message = nullptr;
      if (nng_recvmsg(PullSocket_, &Message, 0) != 0)
        continue; // receive timeout
      const std::string_view Bytes(static_cast<const char *>(nng_msg_body(Message)),
                                   nng_msg_len(Message));
      core::count("masticdrift_peer_bytes_total", {{"direction", "in"}},
                  static_cast<double>(Bytes.size()));
      auto Frame = decodeEnvelope(Bytes);
      nng_msg_free(Message);
      if (!Frame) {
        core::log(core::LogLevel::Warning, "malformed peer message dropped");
        continue;
      }
      dispatch(*Frame);
    }
  }

  void dispatch(Envelope &Frame) {
    {
      const std::lock_guard Lock(Mutex_);
      Frame.DeadlineMs_ -= DelayFilters_[Frame.Sender_].excessDelayMs(Frame.Incarnation_,
                                                                      Frame.SentMs_, bootMillis());
    }
    if (Frame.DeadlineMs_ <= 0)
      return;
    const auto Kind = static_cast<MessageKind>(Frame.Kind_);
    if (!isReply(Kind)) {
      if (OnMessage_)
        OnMessage_(Frame);
      return;
    }
    Callback Done;
    {
      const std::lock_guard Lock(Mutex_);
      const auto Found = OpenCalls_.find(Frame.Correlation_);
      if (Found == OpenCalls_.end() || Found->second.Peer_ != Frame.Sender_ ||
          Found->second.ExpectedKind_ != Kind)
        return; // late reply, or a reply from another peer
      Done = std::move(Found->second.Done_);
      OpenCalls_.erase(Found);
    }
    Done({}, Frame);
  }

  /// Completes a call with an error if it is still open.
  void fail(std::uint64_t CallId, std::error_code Error) {
    Callback Done;
    {
      const std::lock_guard Lock(Mutex_);
      const auto Found = OpenCalls_.find(CallId);
      if (Found == OpenCalls_.end())
        return;
      Done = std::move(Found->second.Done_);
      OpenCalls_.erase(Found);
    }
    Done(Error, {});
  }

  /// Runs fail() on the timer thread, because callers may hold locks or may be nng callbacks, which
  /// must not close sockets.
  void failAsync(std::uint64_t CallId, std::error_code Error) {
    Timers_.post([this, CallId, Error] { fail(CallId, Error); });
  }

  void onTimeout(std::uint64_t CallId) {
    bool HandedToNng = false;
    {
      const std::lock_guard Lock(Mutex_);
      const auto Found = OpenCalls_.find(CallId);
      if (Found == OpenCalls_.end())
        return;
      HandedToNng = Found->second.HandedToNng_;
    }
    fail(CallId, HandedToNng ? ErrorKind::OutcomeUnknown : ErrorKind::PeerUnreachable);
  }

  std::shared_ptr<Connection> connect(const std::string &Address) {
    return std::make_shared<Connection>(
        Address, Options_.MaxQueuedMessages_, Options_.MaxQueuedBytes_,
        [this](std::uint64_t CallId) {
          if (CallId == 0)
            return;
          const std::lock_guard Lock(Mutex_);
          if (const auto Found = OpenCalls_.find(CallId); Found != OpenCalls_.end())
            Found->second.HandedToNng_ = true;
        },
        [this](std::uint64_t CallId) { failAsync(CallId, ErrorKind::PeerUnreachable); });
  }

  std::error_code post(std::string_view Peer, MessageKind Kind, std::uint64_t Correlation,
                       std::uint64_t CallId, std::string Body, TimePoint Deadline) {
    if (Body.size() > Options_.MaxMessageBytes_)
      return ErrorKind::BodyTooLarge;
    std::shared_ptr<Connection> Target;
    {
      const std::lock_guard Lock(Mutex_);
      if (Stopped_)
        return ErrorKind::Stopping;
      const auto Found = Peers_.find(Peer);
      if (Found == Peers_.end())
        return ErrorKind::PeerUnreachable;
      Target = Found->second.Connection_;
    }
    if (Target == nullptr)
      return ErrorKind::PeerUnreachable;
    QueuedMessage Message;
    Message.CallId_ = CallId;
    Message.Deadline_ = Deadline;
    Message.Frame_ = {static_cast<std::uint8_t>(Kind),
                      Correlation,
                      Options_.Name_,
                      Options_.Incarnation_,
                      0,
                      0,
                      std::move(Body)};
    if (!Target->enqueue(std::move(Message)))
      return ErrorKind::PeerUnreachable;
    return {};
  }

  /// Sets the connection of \p Peer; the old connection is closed after the lock is released.
  void replace(std::string_view Peer, const std::string &Address) {
    auto NewConnection = connect(Address);
    const std::lock_guard ReplaceLock(ReplaceMutex_);
    std::shared_ptr<Connection> OldConnection;
    {
      const std::lock_guard Lock(Mutex_);
      if (Stopped_) {
        OldConnection = std::move(NewConnection);
      } else {
        auto &Entry = Peers_[std::string(Peer)];
        Entry.Address_ = Address;
        OldConnection = std::exchange(Entry.Connection_, std::move(NewConnection));
      }
    }
    retire(std::move(OldConnection));
  }

  /// Closes a connection later, on the timer thread: an nng callback must not release the last
  /// reference, and nng 1.5.2 can abort in nng_close() while the dialer or a pipe of the socket is
  /// still starting.
  void retire(std::shared_ptr<Connection> OldConnection) {
    if (OldConnection == nullptr)
      return;
    OldConnection->retire();
    Timers_.after(CloseDelay, [Retired = std::move(OldConnection)] {});
  }

  void stop() {
    {
      const std::lock_guard Lock(Mutex_);
      if (std::exchange(Stopped_, true))
        return;
    }
    StopReceivers_ = true;
    for (auto &Receiver : ReceiverThreads_)
      Receiver.join();
    nng_close(PullSocket_);
    decltype(Peers_) Peers;
    {
      const std::lock_guard Lock(Mutex_);
      Peers.swap(Peers_);
    }
    Peers.clear();
    Timers_.stop();
    decltype(OpenCalls_) Calls;
    {
      const std::lock_guard Lock(Mutex_);
      Calls.swap(OpenCalls_);
    }
    for (auto &[CallId, OpenEntry] : Calls)
      OpenEntry.Done_(OpenEntry.HandedToNng_ ? ErrorKind::OutcomeUnknown : ErrorKind::Stopping, {});
  }

  struct PeerEntry {
    std::string Address_;
    std::shared_ptr<Connection> Connection_;
  };

  LinkOptions Options_;
  Handler OnMessage_;
  nng_socket PullSocket_ = NNG_SOCKET_INITIALIZER;
  std::uint16_t Port_ = 0;
  std::mutex ReplaceMutex_;
  mutable std::mutex Mutex_;
  bool Stopped_ = false;
  std::uint64_t NextCallId_ = 1;
  std::map<std::string, PeerEntry, std::less<>> Peers_;
  std::unordered_map<std::uint64_t, OpenCall> OpenCalls_;
  std::unordered_map<std::string, DelayFilter> DelayFilters_;
  core::Timers Timers_;
  std::atomic<bool> StopReceivers_{false};
  std::array<std::thread, 2> ReceiverThreads_;
};

Link::Link(LinkOptions Options, Handler OnMessage)
    : Impl_(std::make_unique<Impl>(std::move(Options), std::move(OnMessage))) {}

Link::~Link() { stop(); }

std::uint16_t Link::port() const { return Impl_->Port_; }

void Link::setRoute(std::string_view Peer, std::string_view Address) {
  {
    const std::lock_guard Lock(Impl_->Mutex_);
    const auto Found = Impl_->Peers_.find(Peer);
    if (Found != Impl_->Peers_.end() && Found->second.Address_ == Address)
      return;
  }
  Impl_->replace(Peer, std::string(Address));
}

void Link::removeRoute(std::string_view Peer) {
  std::shared_ptr<Connection> OldConnection;
  {
    const std::lock_guard Lock(Impl_->Mutex_);
    if (const auto Found = Impl_->Peers_.find(Peer); Found != Impl_->Peers_.end()) {
      OldConnection = std::move(Found->second.Connection_);
      Impl_->Peers_.erase(Found);
    }
  }
  Impl_->retire(std::move(OldConnection));
}

void Link::reconnect(std::string_view Peer) {
  std::string Address;
  {
    const std::lock_guard Lock(Impl_->Mutex_);
    const auto Found = Impl_->Peers_.find(Peer);
    if (Found == Impl_->Peers_.end() ||
        (Found->second.Connection_ != nullptr && !Found->second.Connection_->oldEnoughToReplace()))
      return;
    Address = Found->second.Address_;
  }
  core::count("masticdrift_peer_reconnects_total");
  Impl_->replace(Peer, Address);
}

bool Link::connected(std::string_view Peer) const {
  const std::lock_guard Lock(Impl_->Mutex_);
  const auto Found = Impl_->Peers_.find(Peer);
  return Found != Impl_->Peers_.end() && Found->second.Connection_ != nullptr &&
         Found->second.Connection_->connected();
}

std::error_code Link::send(std::string_view Peer, MessageKind Kind, std::uint64_t Correlation,
                           std::string Body) {
  return Impl_->post(Peer, Kind, Correlation, 0, std::move(Body),
                     core::Clock::now() + Impl_->Options_.SendTimeout_);
}

std::error_code Link::reply(const Envelope &Request, MessageKind Kind, std::string Body) {
  // The lower bound lets a reply go out whose request has just passed its deadline.
  const core::Duration Remaining = core::Millis(std::max<std::int64_t>(Request.DeadlineMs_, 250));
  return Impl_->post(Request.Sender_, Kind, Request.Correlation_, 0, std::move(Body),
                     core::Clock::now() + Remaining);
}

void Link::call(std::string_view Peer, MessageKind Kind, std::string Body, core::Duration Timeout,
                Callback Done) {
  const auto ExpectedKind = replyTo(Kind);
  std::uint64_t CallId = 0;
  {
    const std::lock_guard Lock(Impl_->Mutex_);
    CallId = Impl_->Stopped_ ? 0 : Impl_->NextCallId_++;
    if (CallId != 0)
      Impl_->OpenCalls_[CallId] = {std::string(Peer), ExpectedKind.value_or(Kind), false, Done};
  }
  if (CallId == 0) {
    Done(ErrorKind::Stopping, {});
    return;
  }
  const std::error_code Error =
      ExpectedKind
          ? Impl_->post(Peer, Kind, CallId, CallId, std::move(Body), core::Clock::now() + Timeout)
          : std::error_code(ErrorKind::Internal);
  if (Error)
    Impl_->failAsync(CallId, Error);
  else
    Impl_->Timers_.after(Timeout, [Impl = Impl_.get(), CallId] { Impl->onTimeout(CallId); });
}

void Link::stop() { Impl_->stop(); }

} // namespace masticdrift::protocol
