/// \file
/// Socket for RESTinio that keeps to a ConnectionBudget.
#ifndef MASTICDRIFT_HTTP_DETAIL_METEREDSOCKET_H
#define MASTICDRIFT_HTTP_DETAIL_METEREDSOCKET_H

#include "masticdrift/http/detail/ConnectionBudget.h"
#include "masticdrift/http/detail/RequestMeter.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <system_error>
#include <utility>

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>

namespace masticdrift::http::detail {

/// TCP socket with the interface that RESTinio asks for. Measures the requests that arrive and the
/// answers that are sent, and fails reads with connection_reset when the budget has no room.
class MeteredSocket {
public:
  using executor_type = asio::ip::tcp::socket::executor_type;

  /// \param ServedRequestBytes what a request takes beside its content while it is served.
  MeteredSocket(asio::io_context &Loop, std::shared_ptr<ConnectionBudget> Budget,
                std::size_t ServedRequestBytes)
      : State_(std::make_shared<State>(Loop, std::move(Budget), ServedRequestBytes)) {}
  MeteredSocket(MeteredSocket &&) = default;
  MeteredSocket &operator=(MeteredSocket &&) = default;

  /// To be called once, before the first read.
  void setConnectionId(std::uint64_t Id) { State_->Share_.ConnectionId_ = Id; }

  // NOLINTBEGIN(readability-identifier-naming): Asio and RESTinio ask for these names.
  auto &lowest_layer() { return State_->Socket_.lowest_layer(); }
  const auto &lowest_layer() const { return State_->Socket_.lowest_layer(); }
  auto get_executor() { return State_->Socket_.get_executor(); }
  auto remote_endpoint() const { return State_->Socket_.remote_endpoint(); }
  bool is_open() const { return State_->Socket_.is_open(); }
  template <typename... Args> void cancel(Args &&...Arguments) {
    State_->Socket_.cancel(std::forward<Args>(Arguments)...);
  }
  template <typename... Args> void shutdown(Args &&...Arguments) {
    State_->Socket_.shutdown(std::forward<Args>(Arguments)...);
  }
  template <typename... Args> void close(Args &&...Arguments) {
    State_->Socket_.close(std::forward<Args>(Arguments)...);
  }

  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers &Source, Handler &&OnWritten) {
    const auto Executor = asio::get_associated_executor(OnWritten, State_->Socket_.get_executor());
    State_->onWriting();
    State_->Socket_.async_write_some(
        Source, asio::bind_executor(Executor,
                                    [Shared = State_, OnWritten = std::forward<Handler>(OnWritten)](
                                        std::error_code Error, std::size_t Size) mutable {
                                      Shared->onWritten(Size);
                                      OnWritten(Shared->errorOf(Error), Size);
                                    }));
  }

  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers &Target, Handler &&OnRead) {
    const auto Executor = asio::get_associated_executor(OnRead, State_->Socket_.get_executor());
    const bool Allowed = State_->onWaiting([&] {
      return [Executor, Weak = std::weak_ptr<State>(State_)] {
        asio::post(Executor, [Weak] {
          if (const auto Locked = Weak.lock())
            Locked->closeSocket();
        });
      };
    });
    if (!Allowed) {
      asio::post(Executor, [Shared = State_, OnRead = std::forward<Handler>(OnRead)]() mutable {
        OnRead(std::error_code(asio::error::connection_reset), 0);
      });
      return;
    }
    State_->Socket_.async_read_some(
        Target, asio::bind_executor(Executor, [Shared = State_, Target,
                                               OnRead = std::forward<Handler>(OnRead)](
                                                  std::error_code Error, std::size_t Size) mutable {
          Error = Shared->onRead(
              Error,
              std::string_view(static_cast<const char *>(asio::buffer(Target).data()), Size));
          OnRead(Error, Error ? 0 : Size);
        }));
  }
  // NOLINTEND(readability-identifier-naming)

private:
  struct State {
    State(asio::io_context &Loop, std::shared_ptr<ConnectionBudget> Budget,
          std::size_t ServedRequestBytes)
        : Socket_(Loop), Budget_(std::move(Budget)), Meter_(ServedRequestBytes) {}
    State(const State &) = delete;
    State &operator=(const State &) = delete;
    ~State() {
      if (Added_)
        Budget_->remove(Share_);
    }

    /// \returns false when the connection must be closed instead of being read.
    template <typename MakeClose> bool onWaiting(MakeClose MakeCloseFunction) {
      // Sockets wait for a connection before, and not all get one.
      if (!Added_) {
        Share_.Close_ = MakeCloseFunction();
        Added_ = Budget_->add(Share_);
        if (!Added_)
          return false;
      }
      if (Meter_.hasFailed())
        return false;
      // RESTinio reads on when it has answered.
      Meter_.release();
      Budget_->onWaiting(Share_, Meter_.heldBytes(), state(), BudgetShare::Clock::now());
      return true;
    }

    std::error_code onRead(std::error_code Error, std::string_view Bytes) {
      if (Error)
        return errorOf(Error);
      Meter_.consume(Bytes);
      // Without an answer: the request may repeat one whose answer was lost, so nothing can be
      // said about it here.
      return Budget_->onReceived(Share_, Meter_.heldBytes(), state(), BudgetShare::Clock::now())
                 ? std::error_code()
                 : std::error_code(asio::error::connection_reset);
    }

    void onWriting() {
      if (Added_)
        Budget_->onWriting(Share_);
    }

    void onWritten(std::size_t Bytes) {
      if (Added_)
        Budget_->onWritten(Share_, Bytes);
    }

    ConnectionState state() const {
      if (Meter_.hasWholeRequest())
        return ConnectionState::Serving;
      return Meter_.isWithinRequest() ? ConnectionState::Receiving : ConnectionState::Idle;
    }

    /// \returns the error that RESTinio closes the connection with. It takes an aborted operation
    /// for a sign that it has closed the connection itself.
    std::error_code errorOf(std::error_code Error) const {
      return Error && Closed_ ? std::error_code(asio::error::connection_reset) : Error;
    }

    void closeSocket() {
      Closed_ = true;
      std::error_code Ignored; // it may have been closed meanwhile
      Socket_.close(Ignored);
    }

    asio::ip::tcp::socket Socket_;
    const std::shared_ptr<ConnectionBudget> Budget_;
    RequestMeter Meter_;
    BudgetShare Share_;
    bool Added_ = false;
    bool Closed_ = false; ///< by the budget
  };

  std::shared_ptr<State> State_;
};

} // namespace masticdrift::http::detail

#endif // MASTICDRIFT_HTTP_DETAIL_METEREDSOCKET_H
