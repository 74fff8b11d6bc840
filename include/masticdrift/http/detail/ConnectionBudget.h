/// \file
/// Bounds the memory and the connections of one server.
#ifndef MASTICDRIFT_HTTP_DETAIL_CONNECTIONBUDGET_H
#define MASTICDRIFT_HTTP_DETAIL_CONNECTIONBUDGET_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <mutex>
#include <string_view>

namespace masticdrift::http::detail {

/// Limits of one server.
struct BudgetLimits {
  std::size_t HeldBytes_ = 0;             ///< of all requests that arrive or are being answered
  std::size_t Connections_ = 0;           ///< open at the same time
  std::chrono::milliseconds RequestTime_; ///< from the first to the last byte of a request
};

/// Why a connection is closed.
enum class CloseReason { Memory, Connections, SlowRequest };

/// What a connection takes of the budget.
struct BudgetShare {
  using Clock = std::chrono::steady_clock;
  /// Closes the connection soon, from any thread. Set while the connection waits for data.
  std::function<void()> Close_;
  std::size_t HeldBytes_ = 0;
  bool Waiting_ = false; ///< waits for data, so that closing it breaks off no answer
  bool WithinRequest_ = false;
  Clock::time_point RequestBegunAt_{};
  bool Closing_ = false; ///< was told to close
  std::list<BudgetShare *>::iterator Position_{};
};

/// Budget of one server. Thread-safe.
///
/// When the budget is used up, the connection with the largest unfinished request is closed, so
/// that small requests are served beside large ones that never end. When there are too many
/// connections, the one that has been inactive for the longest time is closed.
class ConnectionBudget {
public:
  explicit ConnectionBudget(BudgetLimits Limits) : Limits_(Limits) {}

  void add(BudgetShare &Share);
  void remove(BudgetShare &Share);

  /// Notes that a connection waits for data.
  ///
  /// \param HeldBytes what it still holds.
  void onWaiting(BudgetShare &Share, std::size_t HeldBytes);

  /// Notes that a connection has received data.
  ///
  /// \param HeldBytes what it holds now.
  /// \returns false when the budget does not allow that; the connection must be closed.
  bool onReceived(BudgetShare &Share, std::size_t HeldBytes, bool WithinRequest,
                  BudgetShare::Clock::time_point Now);

  /// Closes the connections whose requests take too long.
  ///
  /// \returns true while a request is unfinished, so that this should be called again.
  bool closeSlow(BudgetShare::Clock::time_point Now);

  /// Sets what is called, from any thread, when a request is left unfinished and closeSlow() is
  /// not being called.
  void onUnfinished(std::function<void()> Watch);

  /// \returns the memory held for all connections, in bytes.
  std::size_t heldBytes() const;
  std::size_t connections() const;

private:
  void setHeld(BudgetShare &Share, std::size_t HeldBytes);
  void close(BudgetShare &Share, CloseReason Reason);
  void noteClosed(const BudgetShare &Share, CloseReason Reason);
  /// \returns the connection with the largest unfinished request that can be closed, or null.
  BudgetShare *largestUnfinished(const BudgetShare &Except);

  const BudgetLimits Limits_;
  mutable std::mutex Mutex_;
  std::list<BudgetShare *> Shares_; ///< the one that was inactive for the longest time first
  std::size_t HeldBytes_ = 0;
  std::function<void()> Watch_;
  bool Watched_ = false; ///< closeSlow() will be called
  BudgetShare::Clock::time_point LoggedAt_{};
  std::size_t ClosedSinceLog_ = 0;
};

} // namespace masticdrift::http::detail

#endif // MASTICDRIFT_HTTP_DETAIL_CONNECTIONBUDGET_H
