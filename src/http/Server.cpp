#include "masticdrift/http/Server.h"

#include "masticdrift/core/Error.h"
#include "masticdrift/core/Log.h"
#include "masticdrift/http/detail/MeteredSocket.h"

#include <atomic>
#include <memory>
#include <optional>
#include <thread>

#include <restinio/all.hpp>
#include <sys/socket.h>

namespace masticdrift::http::detail {

/// Called by RESTinio when a connection was accepted.
template <typename Connection, typename OnStart, typename OnFailure>
void prepare_connection_and_start_read(MeteredSocket &Socket, Connection &Accepted, OnStart Start,
                                       OnFailure) {
  Socket.setConnectionId(Accepted.connection_id());
  Start();
}

/// Called by RESTinio for its state listener.
inline restinio::tls_socket_t *
make_tls_socket_pointer_for_state_listener(MeteredSocket &) noexcept {
  return nullptr;
}

} // namespace masticdrift::http::detail

namespace restinio {

/// Settings that a server with metered sockets has in addition.
template <typename Settings>
class socket_type_dependent_settings_t<Settings, masticdrift::http::detail::MeteredSocket> {
public:
  using BudgetPointer = std::shared_ptr<masticdrift::http::detail::ConnectionBudget>;

  void meter(BudgetPointer Budget, std::size_t ServedRequestBytes) {
    Budget_ = std::move(Budget);
    ServedRequestBytes_ = ServedRequestBytes;
  }
  BudgetPointer budget() const { return Budget_; }
  std::size_t servedRequestBytes() const { return ServedRequestBytes_; }

protected:
  ~socket_type_dependent_settings_t() = default;

private:
  BudgetPointer Budget_;
  std::size_t ServedRequestBytes_ = 0;
};

namespace impl {

/// Sockets for connections that will be accepted.
template <> class socket_supplier_t<masticdrift::http::detail::MeteredSocket> {
  using Socket = masticdrift::http::detail::MeteredSocket;

protected:
  template <typename Settings>
  socket_supplier_t(Settings &ServerSettings, asio_ns::io_context &Loop)
      : Loop_(Loop), Budget_(ServerSettings.budget()),
        ServedRequestBytes_(ServerSettings.servedRequestBytes()) {
    while (Sockets_.size() < ServerSettings.concurrent_accepts_count())
      Sockets_.push_back(makeSocket());
  }
  ~socket_supplier_t() = default;

  Socket &socket(std::size_t Index) { return Sockets_.at(Index); }
  // NOLINTBEGIN(readability-identifier-naming): RESTinio asks for these names.
  Socket move_socket(std::size_t Index) { return std::exchange(Sockets_.at(Index), makeSocket()); }
  std::size_t concurrent_accept_sockets_count() const noexcept { return Sockets_.size(); }
  // NOLINTEND(readability-identifier-naming)

private:
  Socket makeSocket() const { return {Loop_, Budget_, ServedRequestBytes_}; }

  asio_ns::io_context &Loop_;
  const std::shared_ptr<masticdrift::http::detail::ConnectionBudget> Budget_;
  const std::size_t ServedRequestBytes_;
  std::vector<Socket> Sockets_;
};

} // namespace impl

} // namespace restinio

namespace masticdrift::http {

namespace {

using RestinioTraits = restinio::traits_t<
    restinio::asio_timer_manager_t, restinio::null_logger_t, restinio::default_request_handler_t,
    restinio::asio_ns::strand<restinio::default_asio_executor>, detail::MeteredSocket>;

/// Interval at which unfinished requests are checked, while there are any.
constexpr std::chrono::seconds SlowRequestInterval{1};

/// The parser closes the connection when a header value or the header count exceeds its limit.
constexpr std::size_t MaxHeaderValueBytes = 8192;
constexpr std::size_t MaxHeaderCount = 64;
/// Connections that are accepted in one round of the event loop. With few, a loop that is behind
/// lets new connections wait for seconds, their requests time out, and each retry is one more.
constexpr std::size_t ConcurrentAccepts = 64;
/// Memory of a connection without a request: the connection, its input buffer of 4 KiB, its timer
/// and the records of the event loop, with the waste of the allocator.
constexpr std::size_t ProcessBytesPerConnection = 12U << 10U;
/// The kernel takes up to twice the size that a socket's buffer is set to.
constexpr std::size_t KernelBufferFactor = 2;
/// Bodies up to this multiple of the limit are read, so that the client gets a response with an
/// error id.
constexpr std::size_t ReadableOversizeFactor = 4;

Request convertRequest(restinio::request_t &From) {
  Request To;
  To.Method_ = From.header().method().c_str();
  To.Path_ = std::string(From.header().path());
  To.Query_ = std::string(From.header().query());
  To.Body_ = From.body();
  From.header().for_each_field([&To](const auto &Field) {
    To.Headers_.emplace_back(std::string(Field.name()), std::string(Field.value()));
  });
  return To;
}

void respond(detail::ConnectionBudget &Budget, const restinio::request_handle_t &To,
             Response Answer) {
  Budget.onAnswer(To->connection_id(), Answer.Body_.size());
  auto Out = To->create_response(restinio::http_status_line_t(
      restinio::http_status_code_t(static_cast<std::uint16_t>(Answer.Status_)),
      Answer.Status_ < 400 ? "OK" : "Error"));
  Out.append_header(restinio::http_field::content_type, Answer.ContentType_);
  for (const auto &[Name, Value] : Answer.Headers_)
    Out.append_header(Name, Value);
  if (Answer.Close_)
    Out.connection_close();
  Out.set_body(std::move(Answer.Body_));
  Out.done();
}

/// Sets the size of a buffer of all connections that \p Acceptor will accept; 0 leaves it to the
/// kernel.
template <typename Option, typename Acceptor>
void setBufferSize(Acceptor &Listener, std::size_t Bytes) {
  if (Bytes == 0)
    return;
  restinio::asio_ns::error_code Error;
  Listener.set_option(Option(static_cast<int>(Bytes)), Error);
  if (Error)
    core::log(core::LogLevel::Warning, "buffers of connections keep their default size",
              {{"detail", Error.message()}});
}

Response bodyTooLargeResponse(std::size_t Size, std::size_t Limit) {
  Response Answer;
  Answer.Status_ = core::describe(core::ErrorKind::BodyTooLarge).HttpStatus_;
  Answer.Body_ = core::errorBody(
      core::ErrorKind::BodyTooLarge,
      "body has " + std::to_string(Size) + " bytes, limit " + std::to_string(Limit), {});
  Answer.Headers_.emplace_back("Masticdrift-Outcome", "not_run");
  return Answer;
}

/// Closes connections with slow requests, as long as there are unfinished ones.
class SlowRequestWatch : public std::enable_shared_from_this<SlowRequestWatch> {
public:
  SlowRequestWatch(asio::io_context &Loop, std::shared_ptr<detail::ConnectionBudget> Budget)
      : Timer_(Loop), Budget_(std::move(Budget)) {}

  /// To be called once.
  void start() {
    Budget_->onUnfinished([Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        asio::post(Self->Timer_.get_executor(), [Self] { Self->check(); });
    });
  }

  void stop() { Stopped_ = true; }

private:
  void check() {
    Timer_.expires_after(SlowRequestInterval);
    Timer_.async_wait([Weak = weak_from_this()](std::error_code Error) {
      const auto Self = Weak.lock();
      if (!Error && Self && !Self->Stopped_ &&
          Self->Budget_->closeSlow(detail::BudgetShare::Clock::now()))
        Self->check();
    });
  }

  asio::steady_timer Timer_;
  const std::shared_ptr<detail::ConnectionBudget> Budget_;
  std::atomic<bool> Stopped_{false};
};

} // namespace

struct Server::Impl {
  using Restinio = restinio::http_server_t<RestinioTraits>;

  Impl(const ServerOptions &Options, Handler OnRequest)
      : OwnLoop_(Options.Loop_ == nullptr ? std::make_shared<asio::io_context>() : nullptr),
        Budget_(std::make_shared<detail::ConnectionBudget>(detail::BudgetLimits{
            Options.MaxHeldBytes_, Options.MaxConnections_, Options.RequestTimeout_,
            ProcessBytesPerConnection +
                KernelBufferFactor * (Options.ReceiveBufferBytes_ + Options.SendBufferBytes_)})),
        Watch_(std::make_shared<SlowRequestWatch>(OwnLoop_ ? *OwnLoop_ : *Options.Loop_, Budget_)),
        Server_(restinio::external_io_context(OwnLoop_ ? *OwnLoop_ : *Options.Loop_),
                [&](restinio::server_settings_t<RestinioTraits> &Settings) {
                  configure(Settings, Options, std::move(OnRequest));
                }) {
    Watch_->start();
    std::atomic<bool> Opened{false};
    std::exception_ptr Error;
    Server_.open_async([&] { Opened = true; },
                       [&](std::exception_ptr Reason) { Error = std::move(Reason); });
    while (!Opened && !Error)
      Server_.io_context().run_one();
    if (Error)
      std::rethrow_exception(Error);
    // RESTinio listens with the longest queue; another call changes its length.
    if (Options.MaxPendingConnections_ > 0 &&
        ::listen(ListeningSocket_, Options.MaxPendingConnections_) != 0)
      core::log(core::LogLevel::Warning, "queue of new connections keeps its default length", {});
    for (unsigned I = 0; OwnLoop_ && I < Options.ThreadCount_; ++I)
      Threads_.emplace_back([this] { Server_.io_context().run(); });
  }

  void configure(restinio::server_settings_t<RestinioTraits> &Settings,
                 const ServerOptions &Options, Handler OnRequest) {
    const std::size_t MaxBodyBytes = Options.MaxBodyBytes_;
    Settings.meter(Budget_, Options.ServedRequestBytes_);
    Settings.address(Options.Address_)
        .port(Options.Port_)
        .concurrent_accepts_count(ConcurrentAccepts)
        .read_next_http_message_timelimit(Options.ReadTimeout_)
        .handle_request_timeout(std::chrono::seconds(120))
        .write_http_response_timelimit(std::chrono::seconds(10))
        .max_pipelined_requests(1)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_body_size(MaxBodyBytes * ReadableOversizeFactor)
                                      .max_field_value_size(MaxHeaderValueBytes)
                                      .max_field_count(MaxHeaderCount))
        .socket_options_setter(
            [](auto &Socket) { Socket.set_option(restinio::asio_ns::ip::tcp::no_delay{true}); })
        .acceptor_options_setter([Receive = Options.ReceiveBufferBytes_,
                                  Send = Options.SendBufferBytes_](auto &Acceptor) {
          using restinio::asio_ns::socket_base;
          Acceptor.set_option(socket_base::reuse_address{true});
          setBufferSize<socket_base::receive_buffer_size>(Acceptor, Receive);
          setBufferSize<socket_base::send_buffer_size>(Acceptor, Send);
        })
        .acceptor_post_bind_hook([this](auto &Acceptor) {
          Port_ = Acceptor.local_endpoint().port();
          ListeningSocket_ = Acceptor.native_handle();
        })
        .request_handler([MaxBodyBytes, WeakLoop = std::weak_ptr(OwnLoop_), Budget = Budget_,
                          OnRequest = std::move(OnRequest)](auto Incoming) {
          if (Incoming->body().size() > MaxBodyBytes) {
            respond(*Budget, Incoming, bodyTooLargeResponse(Incoming->body().size(), MaxBodyBytes));
            return restinio::request_accepted();
          }
          // The responder may outlive the server, and its connection has timers in the loop.
          OnRequest(convertRequest(*Incoming),
                    [Loop = WeakLoop.lock(), Budget, Incoming](Response Answer) {
                      respond(*Budget, Incoming, std::move(Answer));
                    });
          return restinio::request_accepted();
        });
  }

  void stop() {
    if (Stopped_.exchange(true))
      return;
    Watch_->stop();
    if (!OwnLoop_) {
      Server_.close_async([] {}, [](std::exception_ptr) {});
      return;
    }
    Server_.io_context().stop();
    for (std::thread &Thread : Threads_)
      Thread.join();
  }

  const std::shared_ptr<asio::io_context> OwnLoop_; ///< null with an external loop
  const std::shared_ptr<detail::ConnectionBudget> Budget_;
  const std::shared_ptr<SlowRequestWatch> Watch_;
  std::atomic<bool> Stopped_{false};
  std::uint16_t Port_ = 0;
  int ListeningSocket_ = -1;
  Restinio Server_;
  std::vector<std::thread> Threads_;
};

Server::Server(const ServerOptions &Options, Handler OnRequest)
    : Impl_(std::make_unique<Impl>(Options, std::move(OnRequest))) {}

Server::~Server() { Impl_->stop(); }

std::uint16_t Server::port() const { return Impl_->Port_; }

void Server::stop() { Impl_->stop(); }

} // namespace masticdrift::http
