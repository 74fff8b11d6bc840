#include "masticdrift/http/LoopClient.h"

#include "masticdrift/http/detail/Exchange.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace masticdrift::http {

namespace {

using detail::Exchange;

/// Handles kept for reuse; making one costs about ten allocations.
constexpr std::size_t MaxSpareHandles = 64;
/// Time limits grow by this many times the loop's lag: once for the request, once for the answer.
constexpr int LagFactor = 2;
/// Connections older than this are not reused.
constexpr long LifeSeconds = 600;

/// A connection's socket as libcurl knows it.
struct Watched {
  explicit Watched(asio::io_context &Loop) : Socket_(Loop) {}
  asio::ip::tcp::socket Socket_;
  int Wanted_ = CURL_POLL_NONE;
  bool Reading_ = false;
  bool Writing_ = false;
  bool Closed_ = false;
};

} // namespace

struct LoopClient::Impl : std::enable_shared_from_this<LoopClient::Impl> {
  Impl(asio::io_context &Loop, std::chrono::seconds IdleLimit, long MaxConnections)
      : Loop_(Loop), IdleSeconds_(static_cast<long>(IdleLimit.count())), Timer_(Loop) {
    static const CURLcode Initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)Initialized;
    Multi_ = curl_multi_init();
    curl_multi_setopt(Multi_, CURLMOPT_MAXCONNECTS, MaxConnections);
    curl_multi_setopt(Multi_, CURLMOPT_SOCKETFUNCTION, &onSocketWish);
    curl_multi_setopt(Multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(Multi_, CURLMOPT_TIMERFUNCTION, &onTimerWish);
    curl_multi_setopt(Multi_, CURLMOPT_TIMERDATA, this);
  }

  void close() {
    Closed_ = true;
    Timer_.cancel();
    for (auto &[Easy, Work] : Active_) {
      curl_multi_remove_handle(Multi_, Easy);
      curl_slist_free_all(Work->HeaderList_);
      curl_easy_cleanup(Easy);
    }
    Active_.clear();
    for (CURL *Easy : Spare_)
      curl_easy_cleanup(Easy);
    curl_multi_cleanup(Multi_);
  }

  static curl_socket_t openSocket(void *User, curlsocktype, curl_sockaddr *Address) {
    auto &Self = *static_cast<Impl *>(User);
    auto Socket = std::make_shared<Watched>(Self.Loop_);
    std::error_code Error;
    Socket->Socket_.open(Address->family == AF_INET6 ? asio::ip::tcp::v6() : asio::ip::tcp::v4(),
                         Error);
    if (Error)
      return CURL_SOCKET_BAD;
    const curl_socket_t Handle = Socket->Socket_.native_handle();
    Self.Sockets_[Handle] = std::move(Socket);
    return Handle;
  }

  static int closeSocket(void *User, curl_socket_t Handle) {
    auto &Self = *static_cast<Impl *>(User);
    const auto Found = Self.Sockets_.find(Handle);
    if (Found == Self.Sockets_.end())
      return 1;
    const auto Socket = Found->second;
    Self.Sockets_.erase(Found);
    Socket->Closed_ = true;
    std::error_code Ignored; // nothing is left to do for a socket that fails to close
    Socket->Socket_.close(Ignored);
    return 0;
  }

  static int onSocketWish(CURL *, curl_socket_t Handle, int What, void *User, void *) {
    auto &Self = *static_cast<Impl *>(User);
    const auto Found = Self.Sockets_.find(Handle);
    if (Found == Self.Sockets_.end())
      return 0;
    Found->second->Wanted_ = What == CURL_POLL_REMOVE ? CURL_POLL_NONE : What;
    Self.watch(Handle, Found->second);
    return 0;
  }

  void watch(curl_socket_t Handle, const std::shared_ptr<Watched> &Socket) {
    if ((Socket->Wanted_ & CURL_POLL_IN) != 0 && !Socket->Reading_) {
      Socket->Reading_ = true;
      await(Handle, Socket, asio::ip::tcp::socket::wait_read, CURL_CSELECT_IN);
    }
    if ((Socket->Wanted_ & CURL_POLL_OUT) != 0 && !Socket->Writing_) {
      Socket->Writing_ = true;
      await(Handle, Socket, asio::ip::tcp::socket::wait_write, CURL_CSELECT_OUT);
    }
  }

  void await(curl_socket_t Handle, const std::shared_ptr<Watched> &Socket,
             asio::ip::tcp::socket::wait_type Kind, int Event) {
    Socket->Socket_.async_wait(
        Kind, [Self = shared_from_this(), Handle, Socket, Event](std::error_code Error) {
          (Event == CURL_CSELECT_IN ? Socket->Reading_ : Socket->Writing_) = false;
          const int Mask = Event == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
          if (Self->Closed_ || Socket->Closed_ || (Socket->Wanted_ & Mask) == 0)
            return;
          Self->act(Handle, Error ? CURL_CSELECT_ERR : Event);
          if (!Self->Closed_ && !Socket->Closed_)
            Self->watch(Handle, Socket);
        });
  }

  static int onTimerWish(CURLM *, long DelayMs, void *User) {
    auto &Self = *static_cast<Impl *>(User);
    if (DelayMs < 0) {
      Self.WakeAt_ = {};
      return 0;
    }
    if (DelayMs == 0) {
      // libcurl must not be entered from its own callback.
      if (!std::exchange(Self.WakePosted_, true))
        asio::post(Self.Loop_, [Held = Self.shared_from_this()] {
          Held->WakePosted_ = false;
          if (!Held->Closed_)
            Held->act(CURL_SOCKET_TIMEOUT, 0);
        });
      return 0;
    }
    Self.WakeAt_ = std::chrono::steady_clock::now() + std::chrono::milliseconds(DelayMs);
    Self.arm();
    return 0;
  }

  /// A timer that fires early costs less than setting it anew for nearly every exchange.
  void arm() {
    if (Armed_ && Timer_.expiry() <= WakeAt_)
      return;
    Armed_ = true;
    Timer_.expires_at(WakeAt_);
    Timer_.async_wait([Held = shared_from_this()](std::error_code Error) {
      if (Error || Held->Closed_)
        return;
      Held->Armed_ = false;
      Held->noteLag();
      if (Held->WakeAt_ == std::chrono::steady_clock::time_point{})
        return;
      if (std::chrono::steady_clock::now() < Held->WakeAt_)
        Held->arm();
      else
        Held->act(CURL_SOCKET_TIMEOUT, 0);
    });
  }

  /// How late this loop is: time that answers wait here is not the other end's.
  void noteLag() {
    constexpr int Decay = 2;
    Lag_ = std::max<std::chrono::steady_clock::duration>(
        std::chrono::steady_clock::now() - Timer_.expiry(), Lag_ / Decay);
  }

  void act(curl_socket_t Handle, int Events) {
    int Running = 0;
    curl_multi_socket_action(Multi_, Handle, Events, &Running);
    int Left = 0;
    std::vector<std::pair<CURL *, CURLcode>> Done;
    while (CURLMsg *Message = curl_multi_info_read(Multi_, &Left))
      if (Message->msg == CURLMSG_DONE)
        Done.emplace_back(Message->easy_handle, Message->data.result);
    for (const auto &[Easy, Code] : Done)
      finish(Easy, Code);
  }

  void finish(CURL *Easy, CURLcode Code) {
    auto Node = Active_.extract(Easy);
    if (Node.empty())
      return;
    const std::unique_ptr<Exchange> Work = std::move(Node.mapped());
    ClientResult Result = detail::resultOf(Code, *Work);
    curl_multi_remove_handle(Multi_, Easy);
    curl_slist_free_all(Work->HeaderList_);
    if (Spare_.size() < MaxSpareHandles) {
      curl_easy_reset(Easy);
      Spare_.push_back(Easy);
    } else {
      curl_easy_cleanup(Easy);
    }
    Work->Done_(std::move(Result));
  }

  void start(std::unique_ptr<Exchange> Work) {
    if (Spare_.empty()) {
      Work->Easy_ = curl_easy_init();
    } else {
      Work->Easy_ = Spare_.back();
      Spare_.pop_back();
    }
    // Otherwise a loop that falls behind takes answers for lost, and the repeats slow it further.
    Work->Request_.Timeout_ +=
        LagFactor * std::chrono::duration_cast<std::chrono::milliseconds>(Lag_);
    detail::prepare(*Work, IdleSeconds_, LifeSeconds);
    curl_easy_setopt(Work->Easy_, CURLOPT_OPENSOCKETFUNCTION, &openSocket);
    curl_easy_setopt(Work->Easy_, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(Work->Easy_, CURLOPT_CLOSESOCKETFUNCTION, &closeSocket);
    curl_easy_setopt(Work->Easy_, CURLOPT_CLOSESOCKETDATA, this);
    CURL *Easy = Work->Easy_;
    Active_.emplace(Easy, std::move(Work));
    curl_multi_add_handle(Multi_, Easy);
  }

  asio::io_context &Loop_;
  const long IdleSeconds_;
  asio::steady_timer Timer_;
  std::chrono::steady_clock::time_point WakeAt_{}; ///< when libcurl wants to be called; zero: never
  bool Armed_ = false;
  std::chrono::steady_clock::duration Lag_{0};
  bool WakePosted_ = false;
  CURLM *Multi_ = nullptr;
  bool Closed_ = false;
  std::unordered_map<curl_socket_t, std::shared_ptr<Watched>> Sockets_;
  std::unordered_map<CURL *, std::unique_ptr<Exchange>> Active_;
  std::vector<CURL *> Spare_;
};

LoopClient::LoopClient(asio::io_context &Loop, std::chrono::seconds IdleLimit, long MaxConnections)
    : Impl_(std::make_shared<Impl>(Loop, IdleLimit, MaxConnections)) {}

LoopClient::~LoopClient() { Impl_->close(); }

void LoopClient::send(ClientRequest Request, Callback Done) {
  auto Work = std::make_unique<Exchange>();
  Work->Request_ = std::move(Request);
  Work->Done_ = std::move(Done);
  // libcurl must not be entered from one of its own callbacks, so a new exchange starts later.
  asio::post(Impl_->Loop_,
             [Self = Impl_, Held = std::make_shared<std::unique_ptr<Exchange>>(std::move(Work))] {
               if (!Self->Closed_)
                 Self->start(std::move(*Held));
             });
}

} // namespace masticdrift::http
