#include "masticdrift/http/LoopClient.h"

#include "masticdrift/http/detail/Exchange.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace masticdrift::http {

namespace {

using detail::Exchange;

/// Easy handles kept for reuse; creating one costs about ten allocations.
constexpr std::size_t MaxIdleHandles = 64;
/// Timeouts are extended by this multiple of the event loop lag: once for the request and once for
/// the response.
constexpr int TimeoutLagFactor = 2;
/// Age after which a connection is not reused.
constexpr long MaxConnectionAgeSeconds = 600;

/// Added to libcurl's own timeout, which must not end an exchange before its deadline was checked
/// here.
constexpr std::chrono::milliseconds CurlTimeoutMargin{10'000};
/// A request is sent at most this long after its time is over, by an event loop that was late. Its
/// sender knows for how long an order that got no answer may still be carried out.
constexpr std::chrono::milliseconds MaxSendDelay{3000};
/// A deadline that is checked later than this was missed by the event loop.
constexpr std::chrono::milliseconds MaxTimerDelay{5};

using TimePoint = std::chrono::steady_clock::time_point;

/// An exchange that libcurl carries out, and when it ends.
struct ActiveExchange {
  std::unique_ptr<Exchange> Operation_;
  TimePoint EndAt_;                         ///< end of the whole exchange
  std::chrono::milliseconds MaxSilence_{0}; ///< zero: unlimited
  TimePoint DueAt_{};                       ///< when its deadline is checked
  curl_socket_t Socket_ = CURL_SOCKET_BAD;  ///< of its connection
  bool Extended_ = false;                   ///< by the time that the event loop was late
};

/// \returns when the exchange ends unless more of its response arrives.
TimePoint deadlineOf(const ActiveExchange &Entry) {
  if (Entry.MaxSilence_.count() == 0)
    return Entry.EndAt_;
  return std::min(Entry.EndAt_, Entry.Operation_->LastProgressAt_ + Entry.MaxSilence_);
}

/// Socket of a libcurl connection with the poll events that libcurl requested.
struct WatchedSocket {
  explicit WatchedSocket(asio::io_context &Loop) : Socket_(Loop) {}
  asio::ip::tcp::socket Socket_;
  int PollEvents_ = CURL_POLL_NONE;
  bool ReadWaitPending_ = false;
  bool WriteWaitPending_ = false;
  bool Closed_ = false;
};

} // namespace

struct LoopClient::Impl : std::enable_shared_from_this<LoopClient::Impl> {
  Impl(asio::io_context &Loop, std::chrono::seconds MaxIdleTime, long MaxCachedConnections,
       long MaxConnections)
      : Loop_(Loop), MaxIdleSeconds_(static_cast<long>(MaxIdleTime.count())), Timer_(Loop),
        DeadlineTimer_(Loop) {
    static const CURLcode Initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)Initialized;
    MultiHandle_ = curl_multi_init();
    curl_multi_setopt(MultiHandle_, CURLMOPT_MAXCONNECTS, MaxCachedConnections);
    curl_multi_setopt(MultiHandle_, CURLMOPT_MAX_TOTAL_CONNECTIONS, MaxConnections);
    curl_multi_setopt(MultiHandle_, CURLMOPT_SOCKETFUNCTION, &socketCallback);
    curl_multi_setopt(MultiHandle_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(MultiHandle_, CURLMOPT_TIMERFUNCTION, &timerCallback);
    curl_multi_setopt(MultiHandle_, CURLMOPT_TIMERDATA, this);
  }

  void close() {
    Closed_ = true;
    Timer_.cancel();
    DeadlineTimer_.cancel();
    for (auto &[EasyHandle, Entry] : Active_) {
      curl_multi_remove_handle(MultiHandle_, EasyHandle);
      curl_slist_free_all(Entry.Operation_->HeaderList_);
      curl_easy_cleanup(EasyHandle);
    }
    Active_.clear();
    Deadlines_.clear();
    for (CURL *EasyHandle : IdleHandles_)
      curl_easy_cleanup(EasyHandle);
    curl_multi_cleanup(MultiHandle_);
    for (auto &[Handle, Socket] : Sockets_)
      disown(*Socket);
    Sockets_.clear();
  }

  static curl_socket_t openSocketCallback(void *User, curlsocktype, curl_sockaddr *Address) {
    auto &Self = *static_cast<Impl *>(User);
    const curl_socket_t Handle =
        ::socket(Address->family, Address->socktype | SOCK_CLOEXEC, Address->protocol);
    if (Handle == CURL_SOCKET_BAD)
      return CURL_SOCKET_BAD;
    // Before the new socket is registered: its number may still be that of the old one.
    if (const auto Stale = Self.Sockets_.find(Handle); Stale != Self.Sockets_.end()) {
      disown(*Stale->second);
      Self.Sockets_.erase(Stale);
    }
    auto Socket = std::make_shared<WatchedSocket>(Self.Loop_);
    std::error_code Error;
    Socket->Socket_.assign(Address->family == AF_INET6 ? asio::ip::tcp::v6() : asio::ip::tcp::v4(),
                           Handle, Error);
    if (Error) {
      ::close(Handle);
      return CURL_SOCKET_BAD;
    }
    Self.Sockets_[Handle] = std::move(Socket);
    return Handle;
  }

  /// Forgets a socket that libcurl has closed itself: libcurl 7.88 does not call the callback for
  /// connection attempts that time out. Its number may belong to another connection by now.
  static void disown(WatchedSocket &Socket) {
    Socket.Closed_ = true;
    std::error_code Ignored; // the descriptor may be closed
    Socket.Socket_.release(Ignored);
  }

  static int closeSocketCallback(void *User, curl_socket_t Handle) {
    auto &Self = *static_cast<Impl *>(User);
    const auto Found = Self.Sockets_.find(Handle);
    if (Found == Self.Sockets_.end())
      return 1;
    const auto Socket = Found->second;
    Self.Sockets_.erase(Found);
    Socket->Closed_ = true;
    std::error_code Ignored; // a failed close needs no further handling
    Socket->Socket_.close(Ignored);
    return 0;
  }

  static int socketCallback(CURL *EasyHandle, curl_socket_t Handle, int PollEvents, void *User,
                            void *) {
    auto &Self = *static_cast<Impl *>(User);
    if (const auto Entry = Self.Active_.find(EasyHandle); Entry != Self.Active_.end())
      Entry->second.Socket_ = PollEvents == CURL_POLL_REMOVE ? CURL_SOCKET_BAD : Handle;
    const auto Found = Self.Sockets_.find(Handle);
    if (Found == Self.Sockets_.end())
      return 0;
    Found->second->PollEvents_ = PollEvents == CURL_POLL_REMOVE ? CURL_POLL_NONE : PollEvents;
    Self.startWaits(Handle, Found->second);
    return 0;
  }

  void startWaits(curl_socket_t Handle, const std::shared_ptr<WatchedSocket> &Socket) {
    if ((Socket->PollEvents_ & CURL_POLL_IN) != 0 && !Socket->ReadWaitPending_) {
      Socket->ReadWaitPending_ = true;
      waitForEvent(Handle, Socket, asio::ip::tcp::socket::wait_read, CURL_CSELECT_IN);
    }
    if ((Socket->PollEvents_ & CURL_POLL_OUT) != 0 && !Socket->WriteWaitPending_) {
      Socket->WriteWaitPending_ = true;
      waitForEvent(Handle, Socket, asio::ip::tcp::socket::wait_write, CURL_CSELECT_OUT);
    }
  }

  void waitForEvent(curl_socket_t Handle, const std::shared_ptr<WatchedSocket> &Socket,
                    asio::ip::tcp::socket::wait_type Kind, int Event) {
    Socket->Socket_.async_wait(
        Kind, [Self = shared_from_this(), Handle, Socket, Event](std::error_code Error) {
          (Event == CURL_CSELECT_IN ? Socket->ReadWaitPending_ : Socket->WriteWaitPending_) = false;
          const int Mask = Event == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
          if (Self->Closed_ || Socket->Closed_ || (Socket->PollEvents_ & Mask) == 0)
            return;
          Self->processEvent(Handle, Error ? CURL_CSELECT_ERR : Event);
          if (!Self->Closed_ && !Socket->Closed_)
            Self->startWaits(Handle, Socket);
        });
  }

  static int timerCallback(CURLM *, long DelayMs, void *User) {
    auto &Self = *static_cast<Impl *>(User);
    if (DelayMs < 0) {
      Self.NextTimeout_ = {};
      return 0;
    }
    if (DelayMs == 0) {
      // libcurl must not be called from its own callbacks.
      if (!std::exchange(Self.TimeoutPosted_, true))
        asio::post(Self.Loop_, [Held = Self.shared_from_this()] {
          Held->TimeoutPosted_ = false;
          if (!Held->Closed_)
            Held->processEvent(CURL_SOCKET_TIMEOUT, 0);
        });
      return 0;
    }
    Self.NextTimeout_ = std::chrono::steady_clock::now() + std::chrono::milliseconds(DelayMs);
    Self.armTimer();
    return 0;
  }

  /// Keeps a pending timer that fires too early: that costs less than resetting it for nearly every
  /// exchange.
  void armTimer() {
    if (TimerPending_ && Timer_.expiry() <= NextTimeout_)
      return;
    TimerPending_ = true;
    Timer_.expires_at(NextTimeout_);
    Timer_.async_wait([Held = shared_from_this()](std::error_code Error) {
      if (Error || Held->Closed_)
        return;
      Held->TimerPending_ = false;
      Held->measureLag(Held->Timer_);
      if (Held->NextTimeout_ == std::chrono::steady_clock::time_point{})
        return;
      if (std::chrono::steady_clock::now() < Held->NextTimeout_)
        Held->armTimer();
      else
        Held->processEvent(CURL_SOCKET_TIMEOUT, 0);
    });
  }

  /// Measures how late the event loop runs, because the time that responses wait here is not the
  /// server's.
  void measureLag(const asio::steady_timer &Expired) {
    constexpr int Decay = 2;
    Lag_ = std::max<std::chrono::steady_clock::duration>(
        std::chrono::steady_clock::now() - Expired.expiry(), Lag_ / Decay);
  }

  void processEvent(curl_socket_t Handle, int Events) {
    int Running = 0;
    curl_multi_socket_action(MultiHandle_, Handle, Events, &Running);
    int RemainingMessages = 0;
    std::vector<std::pair<CURL *, CURLcode>> Done;
    while (CURLMsg *Message = curl_multi_info_read(MultiHandle_, &RemainingMessages))
      if (Message->msg == CURLMSG_DONE)
        Done.emplace_back(Message->easy_handle, Message->data.result);
    for (const auto &[EasyHandle, Code] : Done)
      finish(EasyHandle, Code);
  }

  void addDeadline(CURL *EasyHandle, ActiveExchange &Entry) {
    Entry.DueAt_ = deadlineOf(Entry);
    Deadlines_.emplace(Entry.DueAt_, EasyHandle);
    armDeadlineTimer();
  }

  /// Keeps a pending timer that fires too early, like armTimer().
  void armDeadlineTimer() {
    if (Deadlines_.empty())
      return;
    const TimePoint Earliest = Deadlines_.begin()->first;
    if (DeadlineTimerPending_ && DeadlineTimer_.expiry() <= Earliest)
      return;
    DeadlineTimerPending_ = true;
    DeadlineTimer_.expires_at(Earliest);
    DeadlineTimer_.async_wait([Held = shared_from_this()](std::error_code Error) {
      if (Error || Held->Closed_)
        return;
      Held->DeadlineTimerPending_ = false;
      Held->measureLag(Held->DeadlineTimer_);
      Held->checkDeadlines(std::chrono::steady_clock::now());
    });
  }

  void checkDeadlines(TimePoint Now) {
    std::vector<CURL *> Due;
    while (!Deadlines_.empty() && Deadlines_.begin()->first <= Now) {
      Due.push_back(Deadlines_.begin()->second);
      Deadlines_.erase(Deadlines_.begin());
    }
    for (CURL *EasyHandle : Due) {
      checkDeadline(EasyHandle, Now);
      if (Closed_)
        return;
    }
    armDeadlineTimer();
  }

  /// Ends an exchange whose deadline has passed, unless its response has arrived in the meantime.
  void checkDeadline(CURL *EasyHandle, TimePoint Now) {
    const auto Entry = Active_.find(EasyHandle);
    // Its handle may belong to a later exchange by now.
    if (Entry == Active_.end() || Entry->second.DueAt_ > Now)
      return;
    if (wasSentInTime(Entry->second))
      readArrived(Entry->second.Socket_);
    else
      extendIfMissed(Entry->second, Now);
    const auto Remaining = Active_.find(EasyHandle);
    if (Closed_ || Remaining == Active_.end() || Remaining->second.DueAt_ > Now)
      return;
    if (deadlineOf(Remaining->second) > Now)
      addDeadline(EasyHandle, Remaining->second);
    else
      finish(EasyHandle, CURLE_OPERATION_TIMEDOUT);
  }

  /// A late event loop has not read what arrived before the deadline.
  void readArrived(curl_socket_t Handle) {
    if (Handle != CURL_SOCKET_BAD && Sockets_.contains(Handle))
      processEvent(Handle, CURL_CSELECT_IN);
  }

  static bool wasSentInTime(const ActiveExchange &Entry) {
    return Entry.Operation_->SendAllowed_ && Entry.Operation_->SentAt_ < Entry.DueAt_;
  }

  /// Gives an exchange back the time in which the event loop could not continue its connection
  /// attempt.
  static void extendIfMissed(ActiveExchange &Entry, TimePoint Now) {
    const auto Missed = Now - Entry.DueAt_;
    if (Missed <= MaxTimerDelay || std::exchange(Entry.Extended_, true))
      return;
    Entry.EndAt_ = Now + Missed;
    Entry.Operation_->LastProgressAt_ = Now;
  }

  void finish(CURL *EasyHandle, CURLcode Code) {
    auto Entry = Active_.extract(EasyHandle);
    if (Entry.empty())
      return;
    Deadlines_.erase({Entry.mapped().DueAt_, EasyHandle});
    const std::unique_ptr<Exchange> Operation = std::move(Entry.mapped().Operation_);
    ClientResult Result = detail::takeResult(Code, *Operation);
    curl_multi_remove_handle(MultiHandle_, EasyHandle);
    curl_slist_free_all(Operation->HeaderList_);
    if (IdleHandles_.size() < MaxIdleHandles) {
      curl_easy_reset(EasyHandle);
      IdleHandles_.push_back(EasyHandle);
    } else {
      curl_easy_cleanup(EasyHandle);
    }
    Operation->Done_(std::move(Result));
  }

  void start(std::unique_ptr<Exchange> Operation) {
    if (IdleHandles_.empty()) {
      Operation->EasyHandle_ = curl_easy_init();
    } else {
      Operation->EasyHandle_ = IdleHandles_.back();
      IdleHandles_.pop_back();
    }
    // Without the extension an overloaded event loop times out responses that have arrived, and the
    // retries add to its load.
    const auto LagTime =
        TimeoutLagFactor * std::chrono::duration_cast<std::chrono::milliseconds>(Lag_);
    const std::chrono::milliseconds MaxSilence = Operation->Request_.MaxSilence_;
    const bool SilenceMatters = MaxSilence.count() > 0 && MaxSilence < Operation->Request_.Timeout_;
    const TimePoint Now = std::chrono::steady_clock::now();
    const TimePoint EndAt = Now + Operation->Request_.Timeout_ + LagTime;
    Operation->SendBy_ = Now + Operation->Request_.Timeout_ + MaxSendDelay;
    Operation->Request_.Timeout_ += LagTime + CurlTimeoutMargin;
    Operation->LastProgressAt_ = Now;
    detail::setOptions(*Operation, MaxIdleSeconds_, MaxConnectionAgeSeconds);
    curl_easy_setopt(Operation->EasyHandle_, CURLOPT_OPENSOCKETFUNCTION, &openSocketCallback);
    curl_easy_setopt(Operation->EasyHandle_, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(Operation->EasyHandle_, CURLOPT_CLOSESOCKETFUNCTION, &closeSocketCallback);
    curl_easy_setopt(Operation->EasyHandle_, CURLOPT_CLOSESOCKETDATA, this);
    CURL *EasyHandle = Operation->EasyHandle_;
    ActiveExchange &Entry = Active_[EasyHandle];
    Entry.Operation_ = std::move(Operation);
    Entry.EndAt_ = EndAt;
    Entry.MaxSilence_ = SilenceMatters ? MaxSilence + LagTime : std::chrono::milliseconds(0);
    addDeadline(EasyHandle, Entry);
    curl_multi_add_handle(MultiHandle_, EasyHandle);
  }

  asio::io_context &Loop_;
  const long MaxIdleSeconds_;
  asio::steady_timer Timer_;
  TimePoint NextTimeout_{}; ///< when libcurl must be called next; zero: never
  bool TimerPending_ = false;
  asio::steady_timer DeadlineTimer_;
  bool DeadlineTimerPending_ = false;
  std::chrono::steady_clock::duration Lag_{0};
  bool TimeoutPosted_ = false;
  CURLM *MultiHandle_ = nullptr;
  bool Closed_ = false;
  std::unordered_map<curl_socket_t, std::shared_ptr<WatchedSocket>> Sockets_;
  std::unordered_map<CURL *, ActiveExchange> Active_;
  std::set<std::pair<TimePoint, CURL *>> Deadlines_; ///< of the active exchanges
  std::vector<CURL *> IdleHandles_;
};

LoopClient::LoopClient(asio::io_context &Loop, std::chrono::seconds MaxIdleTime,
                       long MaxCachedConnections, long MaxConnections)
    : Impl_(std::make_shared<Impl>(Loop, MaxIdleTime, MaxCachedConnections, MaxConnections)) {}

LoopClient::~LoopClient() { Impl_->close(); }

void LoopClient::send(ClientRequest Request, Callback Done) {
  auto Operation = std::make_unique<Exchange>();
  Operation->Request_ = std::move(Request);
  Operation->Done_ = std::move(Done);
  // libcurl must not be called from its own callbacks, so the exchange starts in a posted handler.
  asio::post(Impl_->Loop_, [Self = Impl_, Held = std::make_shared<std::unique_ptr<Exchange>>(
                                              std::move(Operation))] {
    if (!Self->Closed_)
      Self->start(std::move(*Held));
  });
}

} // namespace masticdrift::http
