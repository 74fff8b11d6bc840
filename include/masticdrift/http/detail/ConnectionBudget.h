/// \file
/// Bounds the memory and the connections of one server.
#ifndef MASTICDRIFT_HTTP_DETAIL_CONNECTIONBUDGET_H
#define MASTICDRIFT_HTTP_DETAIL_CONNECTIONBUDGET_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticdrift::http::detail {

/// Limits of one server.
struct BudgetLimits {
  std::size_t HeldBytes_ = 0;             ///< of all connections and their requests and answers
  std::size_t Connections_ = 0;           ///< open at the same time
  std::chrono::milliseconds RequestTime_; ///< from the first to the last byte of a request
  /// What a connection takes without a request. Connections get half of HeldBytes_ at most, so that
  /// the rest is left for requests.
  std::size_t ConnectionBytes_ = 0;
};

/// Why a connection is closed.
enum class CloseReason { Memory, Connections, SlowRequest };

/// What a connection waits for.
enum class ConnectionState {
  Idle,      ///< for a request
  Receiving, ///< for the rest of a request
  Serving,   ///< for the answer to a request that has arrived whole
};

/// What a connection takes of the budget. The budget's lock guards all but the first two fields.
struct BudgetShare {
  using Clock = std::chrono::steady_clock;
  std::uint64_t ConnectionId_ = 0;
  /// Closes the connection soon, from any thread.
  std::function<void()> Close_;
  ConnectionState State_ = ConnectionState::Idle;
  bool Writing_ = false;             ///< the client has not taken all of an answer
  bool Closing_ = false;             ///< was told to close, and still holds its memory
  std::size_t RequestBytes_ = 0;     ///< memory of its requests
  std::vector<std::size_t> Answers_; ///< what is left of its answers, in the order of sending
  std::size_t HeldBytes_ = 0;        ///< memory of both
  Clock::time_point RequestBegunAt_{};
  std::list<BudgetShare *>::iterator Position_{};
};

/// Budget of one server. Thread-safe.
///
/// When the budget is used up, the connection that holds the most is closed, so that small requests
/// are served beside large ones that never end; when none holds as much as the request that
/// arrives, the longest idle one. When there are too many connections, the one that has been
/// inactive for the longest time is closed. A connection whose request is being served is not
/// closed, unless its client leaves an earlier answer unread. What a closed connection holds counts
/// until it is removed.
class ConnectionBudget {
public:
  explicit ConnectionBudget(BudgetLimits Limits);

  /// Adds an idle connection.
  ///
  /// \returns false when it must be closed at once, because no other can be closed for it.
  bool add(BudgetShare &Share);
  void remove(BudgetShare &Share);

  /// Notes that a connection waits for data. All requests that have arrived whole are answered.
  ///
  /// \param RequestBytes what the unfinished request holds.
  /// \param State Idle or Receiving.
  void onWaiting(BudgetShare &Share, std::size_t RequestBytes, ConnectionState State,
                 BudgetShare::Clock::time_point Now);

  /// Notes that a connection has received data.
  ///
  /// \param RequestBytes what its requests hold now.
  /// \param State Serving when a request has arrived whole, else Idle or Receiving.
  /// \returns false when the budget does not allow that; the connection must be closed.
  bool onReceived(BudgetShare &Share, std::size_t RequestBytes, ConnectionState State,
                  BudgetShare::Clock::time_point Now);

  /// Notes that an answer whose body has \p Bytes is ready to be sent on a connection.
  void onAnswer(std::uint64_t ConnectionId, std::size_t Bytes);

  /// Notes that a connection begins to write a part of its first answer.
  void onWriting(BudgetShare &Share);

  /// Notes that the write has ended, after \p Bytes.
  void onWritten(BudgetShare &Share, std::size_t Bytes);

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
  /// \returns how many connections may be open at the same time.
  std::size_t maxConnections() const { return MaxConnections_; }

private:
  std::size_t total() const;
  /// Closes other connections until the budget is kept.
  ///
  /// \returns false when only closing \p Share would help.
  bool makeRoom(BudgetShare &Share);
  void updateHeld(BudgetShare &Share);
  void setState(BudgetShare &Share, ConnectionState State, BudgetShare::Clock::time_point Now);
  void close(BudgetShare &Share, CloseReason Reason);
  void markClosing(BudgetShare &Share, CloseReason Reason);
  void noteClosed(const BudgetShare &Share, CloseReason Reason);
  /// \returns the connection with the largest requests or answers that can be closed, or null.
  BudgetShare *largestClosable(const BudgetShare &Except);
  /// \returns the connection that waits for a request for the longest time, or null.
  BudgetShare *longestIdle(const BudgetShare &Except);

  const BudgetLimits Limits_;
  const std::size_t MaxConnections_;
  mutable std::mutex Mutex_;
  std::list<BudgetShare *> Shares_; ///< the one that was inactive for the longest time first
  std::unordered_map<std::uint64_t, BudgetShare *> ById_;
  std::size_t HeldBytes_ = 0;
  std::size_t ClosingBytes_ = 0; ///< part of HeldBytes_ that is about to become free
  std::size_t Closing_ = 0;      ///< connections that are about to be removed
  std::function<void()> Watch_;
  bool Watched_ = false; ///< closeSlow() will be called
  BudgetShare::Clock::time_point LoggedAt_{};
  std::size_t ClosedSinceLog_ = 0;
};

} // namespace masticdrift::http::detail

#endif // MASTICDRIFT_HTTP_DETAIL_CONNECTIONBUDGET_H
