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
/// Receivers look this often whether the link stops. nng 1.5.2 can miss a receiver when its socket
/// is closed meanwhile, and then neither of them returns. A stop must not take longer than this.
constexpr nng_duration ReceiveWaitMs = 25;
// Frame fields beside the body, so that a body of the full size still fits.
constexpr std::size_t FrameRoom = 4096;

std::int64_t bootMillis() { return core::toMillis(core::Clock::now().time_since_epoch()); }

/// A message that no connection has taken yet.
struct Queued {
  std::uint64_t CallId_ = 0; ///< 0 when no call waits for it
  TimePoint Deadline_;
  Envelope Frame_;
};

/// Delays of one sender's messages, relative to its fastest one.
///
/// The two clocks have an unknown offset; the smallest difference seen stands for it, so that a
/// message that was held up in a connection shows as a larger difference.
class DelayFilter {
public:
  /// \returns how much longer than the fastest message this one took, in milliseconds.
  std::int64_t excess(std::uint64_t Incarnation, std::int64_t SentMs, std::int64_t NowMs) {
    const std::int64_t Difference = NowMs - SentMs;
    if (Incarnation != Incarnation_) {
      Incarnation_ = Incarnation;
      Smallest_ = Difference;
      LastMs_ = NowMs;
      return 0;
    }
    // The estimate rises by 1/2000 of the time, above the drift of any working clock.
    const std::int64_t Rise = (NowMs - LastMs_) / 2000;
    if (Rise > 0) {
      Smallest_ += Rise;
      LastMs_ = NowMs;
    }
    Smallest_ = std::min(Smallest_, Difference);
    return Difference - Smallest_;
  }

private:
  std::uint64_t Incarnation_ = 0;
  std::int64_t Smallest_ = 0;
  std::int64_t LastMs_ = 0;
};

/// A younger connection is not replaced again.
constexpr core::Millis SettleTime{200};
/// A replaced connection is closed this long after its last use.
constexpr core::Millis RetireTime{5000};

/// One push socket. nng redials on its own while the socket is open.
class Connection {
public:
  /// Called when a message was not taken by the connection: nothing was sent.
  using Dropped = std::function<void(std::uint64_t CallId)>;
  /// Called immediately before a message is handed to nng.
  using Handed = std::function<void(std::uint64_t CallId)>;

  Connection(const std::string &Address, std::size_t MaxMessages, std::size_t MaxBytes,
             Handed OnHanded, Dropped OnDropped)
      : MaxMessages_(MaxMessages), MaxBytes_(MaxBytes), OnHanded_(std::move(OnHanded)),
        OnDropped_(std::move(OnDropped)) {
    if (nng_push0_open(&Socket_) != 0)
      throw std::runtime_error("cannot open a push socket");
    nng_aio_alloc(
        &Aio_, [](void *Self) { static_cast<Connection *>(Self)->onSent(); }, this);
    nng_socket_set_ms(Socket_, NNG_OPT_RECONNMINT, RedialMinMs);
    nng_socket_set_ms(Socket_, NNG_OPT_RECONNMAXT, RedialMaxMs);
    const auto Notify = [](nng_pipe, nng_pipe_ev Event, void *Self) {
      static_cast<Connection *>(Self)->onPipe(Event);
    };
    nng_pipe_notify(Socket_, NNG_PIPE_EV_ADD_POST, Notify, this);
    nng_pipe_notify(Socket_, NNG_PIPE_EV_REM_POST, Notify, this);
    if (const int Error =
            nng_dial(Socket_, ("tcp://" + Address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
        Error != 0)
      core::log(core::LogLevel::Warning, "cannot dial a peer",
                {{"address", Address}, {"error", nng_strerror(Error)}});
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Waits for callbacks that are running; must not be called from one.
  ~Connection() {
    {
      const std::lock_guard Lock(Mutex_);
      Closed_ = true;
    }
    nng_close(Socket_);
    nng_aio_stop(Aio_);
    nng_aio_free(Aio_);
    dropAll();
  }

  /// Sends nothing from here on: waiting messages are dropped, the one inside nng is cancelled.
  void retire() {
    {
      const std::lock_guard Lock(Mutex_);
      Closed_ = true;
    }
    nng_aio_cancel(Aio_);
    dropAll();
  }

  /// \returns whether the connection has existed long enough to be judged.
  bool settled() const { return core::Clock::now() - Since_ >= SettleTime; }

  bool connected() const {
    const std::lock_guard Lock(Mutex_);
    return Pipes_ > 0 && !Closed_;
  }

  /// \returns false when the peer is not connected or the queue is full.
  bool enqueue(Queued Message) {
    {
      const std::lock_guard Lock(Mutex_);
      if (Closed_ || Pipes_ <= 0 || Queue_.size() >= MaxMessages_ ||
          Bytes_ + Message.Frame_.Body_.size() > MaxBytes_)
        return false;
      Bytes_ += Message.Frame_.Body_.size();
      Queue_.push_back(std::move(Message));
    }
    pump();
    return true;
  }

private:
  void onPipe(nng_pipe_ev Event) {
    if (Event == NNG_PIPE_EV_ADD_POST) {
      const std::lock_guard Lock(Mutex_);
      ++Pipes_;
      return;
    }
    bool Lost = false;
    {
      const std::lock_guard Lock(Mutex_);
      Lost = --Pipes_ <= 0;
    }
    if (Lost) {
      // The message that waits inside nng must not go out on a later connection.
      nng_aio_cancel(Aio_);
      dropAll();
    }
  }

  void dropAll() {
    std::deque<Queued> Taken;
    {
      const std::lock_guard Lock(Mutex_);
      Taken.swap(Queue_);
      Bytes_ = 0;
    }
    for (const auto &Message : Taken)
      if (Message.CallId_ != 0)
        OnDropped_(Message.CallId_);
  }

  /// Hands the next message to nng unless one is on its way.
  void pump() {
    std::vector<std::uint64_t> Expired;
    nng_msg *Out = nullptr;
    {
      const std::lock_guard Lock(Mutex_);
      while (!Closed_ && !Busy_ && Pipes_ > 0 && !Queue_.empty() && Out == nullptr) {
        Queued Next = std::move(Queue_.front());
        Queue_.pop_front();
        Bytes_ -= Next.Frame_.Body_.size();
        const std::int64_t Left = core::toMillis(Next.Deadline_ - core::Clock::now());
        if (Left <= 0) {
          Expired.push_back(Next.CallId_);
          continue;
        }
        Next.Frame_.DeadlineMs_ = Left;
        Next.Frame_.SentMs_ = bootMillis();
        const std::string Bytes = core::pack(Next.Frame_);
        if (nng_msg_alloc(&Out, 0) != 0 || nng_msg_append(Out, Bytes.data(), Bytes.size()) != 0) {
          Expired.push_back(Next.CallId_);
          if (Out != nullptr)
            nng_msg_free(Out);
          Out = nullptr;
          continue;
        }
        Busy_ = true;
        InFlight_ = Next.CallId_;
        InFlightBytes_ = Bytes.size();
        nng_aio_set_msg(Aio_, Out);
        nng_aio_set_timeout(Aio_, static_cast<nng_duration>(Left));
      }
    }
    for (const auto CallId : Expired)
      if (CallId != 0)
        OnDropped_(CallId);
    if (Out != nullptr) {
      OnHanded_(InFlight_);
      nng_send_aio(Socket_, Aio_);
    }
  }

  void onSent() {
    std::uint64_t CallId = 0;
    std::size_t Bytes = 0;
    const int Error = nng_aio_result(Aio_);
    {
      const std::lock_guard Lock(Mutex_);
      CallId = InFlight_;
      Bytes = InFlightBytes_;
    }
    if (Error != 0) {
      // The message stays with the aio when the socket has not taken it.
      if (nng_msg *Back = nng_aio_get_msg(Aio_); Back != nullptr) {
        nng_msg_free(Back);
        nng_aio_set_msg(Aio_, nullptr);
      }
      if (CallId != 0)
        OnDropped_(CallId);
    } else {
      core::count("masticdrift_peer_bytes_total", {{"direction", "out"}},
                  static_cast<double>(Bytes));
    }
    {
      const std::lock_guard Lock(Mutex_);
      Busy_ = false;
      InFlight_ = 0;
    }
    pump();
  }

  const core::TimePoint Since_ = core::Clock::now();
  const std::size_t MaxMessages_;
  const std::size_t MaxBytes_;
  Handed OnHanded_;
  Dropped OnDropped_;
  nng_socket Socket_ = NNG_SOCKET_INITIALIZER;
  nng_aio *Aio_ = nullptr;
  mutable std::mutex Mutex_;
  std::deque<Queued> Queue_;
  std::size_t Bytes_ = 0;
  int Pipes_ = 0;
  bool Busy_ = false;
  bool Closed_ = false;
  std::uint64_t InFlight_ = 0;
  std::size_t InFlightBytes_ = 0;
};

} // namespace

struct Link::Impl {
  struct OpenCall {
    std::string Peer_;
    MessageKind Expected_{};
    bool Handed_ = false; ///< nng has or had the message, it may have been sent
    Callback Done_;
  };

  Impl(LinkOptions Options, Handler OnMessage)
      : Options_(std::move(Options)), OnMessage_(std::move(OnMessage)) {
    std::random_device Random;
    // Replies to an earlier incarnation must not match the ids of this one.
    NextCall_ = (static_cast<std::uint64_t>(Random()) << 32U) | 1U;
    if (nng_pull0_open(&Pull_) != 0)
      throw std::runtime_error("cannot open a pull socket");
    nng_socket_set_ms(Pull_, NNG_OPT_RECVTIMEO, ReceiveWaitMs);
    nng_socket_set_size(Pull_, NNG_OPT_RECVMAXSZ, Options_.MaxMessage_ + FrameRoom);
    nng_listener Listener = NNG_LISTENER_INITIALIZER;
    int Error = nng_listener_create(&Listener, Pull_, ("tcp://" + Options_.Listen_).c_str());
    if (Error == 0)
      Error = nng_listener_start(Listener, 0);
    int Port = 0;
    if (Error == 0)
      Error = nng_listener_get_int(Listener, NNG_OPT_TCP_BOUND_PORT, &Port);
    if (Error != 0) {
      nng_close(Pull_);
      throw std::runtime_error("cannot listen on " + Options_.Listen_ + ": " + nng_strerror(Error));
    }
    Port_ = static_cast<std::uint16_t>(Port);
    for (auto &Receiver : Receivers_)
      Receiver = std::thread([this] { receive(); });
  }

  void receive() {
    while (!ReceiversStop_) {
      nng_msg *Message = nullptr;
      if (nng_recvmsg(Pull_, &Message, 0) != 0)
        continue; // nothing came in time
      const std::string_view Bytes(static_cast<const char *>(nng_msg_body(Message)),
                                   nng_msg_len(Message));
      core::count("masticdrift_peer_bytes_total", {{"direction", "in"}},
                  static_cast<double>(Bytes.size()));
      auto Frame = decodeEnvelope(Bytes);
      nng_msg_free(Message);
      if (!Frame) {
        core::log(core::LogLevel::Warning, "dropped a malformed message from a peer");
        continue;
      }
      dispatch(*Frame);
    }
  }

  void dispatch(Envelope &Frame) {
    {
      const std::lock_guard Lock(Mutex_);
      Frame.DeadlineMs_ -=
          Delays_[Frame.Sender_].excess(Frame.Incarnation_, Frame.SentMs_, bootMillis());
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
      const auto Found = Calls_.find(Frame.Correlation_);
      if (Found == Calls_.end() || Found->second.Peer_ != Frame.Sender_ ||
          Found->second.Expected_ != Kind)
        return; // late or foreign
      Done = std::move(Found->second.Done_);
      Calls_.erase(Found);
    }
    Done({}, Frame);
  }

  /// Ends a call with an error unless it has ended.
  void fail(std::uint64_t CallId, std::error_code Error) {
    Callback Done;
    {
      const std::lock_guard Lock(Mutex_);
      const auto Found = Calls_.find(CallId);
      if (Found == Calls_.end())
        return;
      Done = std::move(Found->second.Done_);
      Calls_.erase(Found);
    }
    Done(Error, {});
  }

  /// As fail(), on the timer thread: callers may be nng callbacks, in which sockets must not be
  /// closed, or hold locks of their own.
  void failLater(std::uint64_t CallId, std::error_code Error) {
    Schedule_.post([this, CallId, Error] { fail(CallId, Error); });
  }

  void timeOut(std::uint64_t CallId) {
    bool Handed = false;
    {
      const std::lock_guard Lock(Mutex_);
      const auto Found = Calls_.find(CallId);
      if (Found == Calls_.end())
        return;
      Handed = Found->second.Handed_;
    }
    fail(CallId, Handed ? ErrorKind::OutcomeUnknown : ErrorKind::PeerUnreachable);
  }

  std::shared_ptr<Connection> connect(const std::string &Address) {
    return std::make_shared<Connection>(
        Address, Options_.QueueMessages_, Options_.QueueBytes_,
        [this](std::uint64_t CallId) {
          if (CallId == 0)
            return;
          const std::lock_guard Lock(Mutex_);
          if (const auto Found = Calls_.find(CallId); Found != Calls_.end())
            Found->second.Handed_ = true;
        },
        [this](std::uint64_t CallId) { failLater(CallId, ErrorKind::PeerUnreachable); });
  }

  std::error_code post(std::string_view Peer, MessageKind Kind, std::uint64_t Correlation,
                       std::uint64_t CallId, std::string Body, TimePoint Deadline) {
    if (Body.size() > Options_.MaxMessage_)
      return ErrorKind::BodyTooLarge;
    std::shared_ptr<Connection> Out;
    {
      const std::lock_guard Lock(Mutex_);
      if (Stopped_)
        return ErrorKind::Stopping;
      const auto Found = Peers_.find(Peer);
      if (Found == Peers_.end())
        return ErrorKind::PeerUnreachable;
      Out = Found->second.Connection_;
    }
    if (Out == nullptr)
      return ErrorKind::PeerUnreachable;
    Queued Message;
    Message.CallId_ = CallId;
    Message.Deadline_ = Deadline;
    Message.Frame_ = {static_cast<std::uint8_t>(Kind),
                      Correlation,
                      Options_.Name_,
                      Options_.Incarnation_,
                      0,
                      0,
                      std::move(Body)};
    if (!Out->enqueue(std::move(Message)))
      return ErrorKind::PeerUnreachable;
    return {};
  }

  /// Sets the connection of \p Peer; the old one is closed after the lock was released.
  void replace(std::string_view Peer, const std::string &Address) {
    auto Fresh = connect(Address);
    const std::lock_guard Replacing(ReplaceMutex_);
    std::shared_ptr<Connection> Old;
    {
      const std::lock_guard Lock(Mutex_);
      if (Stopped_) {
        Old = std::move(Fresh);
      } else {
        auto &Entry = Peers_[std::string(Peer)];
        Entry.Address_ = Address;
        Old = std::exchange(Entry.Connection_, std::move(Fresh));
      }
    }
    retire(std::move(Old));
  }

  /// Closes a connection later, on the timer thread. The last reference must not be dropped by a
  /// callback of nng, and nng 1.5.2 can abort in nng_close() while the dialer or a pipe of the
  /// socket is still starting.
  void retire(std::shared_ptr<Connection> Old) {
    if (Old == nullptr)
      return;
    Old->retire();
    Schedule_.after(RetireTime, [Kept = std::move(Old)] {});
  }

  void stop() {
    {
      const std::lock_guard Lock(Mutex_);
      if (std::exchange(Stopped_, true))
        return;
    }
    ReceiversStop_ = true;
    for (auto &Receiver : Receivers_)
      Receiver.join();
    nng_close(Pull_);
    decltype(Peers_) Peers;
    {
      const std::lock_guard Lock(Mutex_);
      Peers.swap(Peers_);
    }
    Peers.clear();
    Schedule_.stop();
    decltype(Calls_) Calls;
    {
      const std::lock_guard Lock(Mutex_);
      Calls.swap(Calls_);
    }
    for (auto &[CallId, Open] : Calls)
      Open.Done_(Open.Handed_ ? ErrorKind::OutcomeUnknown : ErrorKind::Stopping, {});
  }

  struct PeerEntry {
    std::string Address_;
    std::shared_ptr<Connection> Connection_;
  };

  LinkOptions Options_;
  Handler OnMessage_;
  nng_socket Pull_ = NNG_SOCKET_INITIALIZER;
  std::uint16_t Port_ = 0;
  std::mutex ReplaceMutex_;
  mutable std::mutex Mutex_;
  bool Stopped_ = false;
  std::uint64_t NextCall_ = 1;
  std::map<std::string, PeerEntry, std::less<>> Peers_;
  std::unordered_map<std::uint64_t, OpenCall> Calls_;
  std::unordered_map<std::string, DelayFilter> Delays_;
  core::Timers Schedule_;
  std::atomic<bool> ReceiversStop_{false};
  std::array<std::thread, 2> Receivers_;
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
  std::shared_ptr<Connection> Old;
  {
    const std::lock_guard Lock(Impl_->Mutex_);
    if (const auto Found = Impl_->Peers_.find(Peer); Found != Impl_->Peers_.end()) {
      Old = std::move(Found->second.Connection_);
      Impl_->Peers_.erase(Found);
    }
  }
  Impl_->retire(std::move(Old));
}

void Link::reconnect(std::string_view Peer) {
  std::string Address;
  {
    const std::lock_guard Lock(Impl_->Mutex_);
    const auto Found = Impl_->Peers_.find(Peer);
    if (Found == Impl_->Peers_.end() ||
        (Found->second.Connection_ != nullptr && !Found->second.Connection_->settled()))
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
  // A floor, so that an answer is still sent when its request has just run out of time.
  const core::Duration Left = core::Millis(std::max<std::int64_t>(Request.DeadlineMs_, 250));
  return Impl_->post(Request.Sender_, Kind, Request.Correlation_, 0, std::move(Body),
                     core::Clock::now() + Left);
}

void Link::call(std::string_view Peer, MessageKind Kind, std::string Body, core::Duration Timeout,
                Callback Done) {
  const auto Expected = replyTo(Kind);
  std::uint64_t CallId = 0;
  {
    const std::lock_guard Lock(Impl_->Mutex_);
    CallId = Impl_->Stopped_ ? 0 : Impl_->NextCall_++;
    if (CallId != 0)
      Impl_->Calls_[CallId] = {std::string(Peer), Expected.value_or(Kind), false, Done};
  }
  if (CallId == 0) {
    Done(ErrorKind::Stopping, {});
    return;
  }
  const std::error_code Error = Expected ? Impl_->post(Peer, Kind, CallId, CallId, std::move(Body),
                                                       core::Clock::now() + Timeout)
                                         : std::error_code(ErrorKind::Internal);
  if (Error)
    Impl_->failLater(CallId, Error);
  else
    Impl_->Schedule_.after(Timeout, [Impl = Impl_.get(), CallId] { Impl->timeOut(CallId); });
}

void Link::stop() { Impl_->stop(); }

} // namespace masticdrift::protocol
