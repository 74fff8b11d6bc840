// The budget of a server beside clients that don't keep to their limits.
#include "masticdrift/http/detail/ConnectionBudget.h"
#include "masticdrift/http/detail/RequestMeter.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using masticdrift::http::detail::BudgetShare;
using masticdrift::http::detail::ConnectionBudget;
using masticdrift::http::detail::ConnectionState;
using masticdrift::http::detail::RequestMeter;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t Budget = 1000;
const BudgetShare::Clock::time_point Start{std::chrono::hours(1)};

/// Connections of one server. A closed one stays until the budget's owner removes it.
struct Connections {
  explicit Connections(std::size_t ConnectionBytes = 0, std::size_t MaxConnections = 4)
      : Budget_({Budget, MaxConnections, milliseconds(10'000), ConnectionBytes}) {}
  Connections(const Connections &) = delete;
  Connections &operator=(const Connections &) = delete;
  ~Connections() {
    for (std::size_t I = 0; I < Shares_.size(); ++I)
      remove(I);
  }

  ConnectionBudget Budget_;
  std::vector<std::unique_ptr<BudgetShare>> Shares_;
  std::vector<bool> Closed_;
  std::vector<bool> Added_;

  std::size_t open() {
    const std::size_t Index = Shares_.size();
    Shares_.push_back(std::make_unique<BudgetShare>());
    Closed_.push_back(false);
    Shares_.back()->ConnectionId_ = Index;
    Shares_.back()->Close_ = [this, Index] { Closed_[Index] = true; };
    Added_.push_back(Budget_.add(*Shares_.back()));
    if (Added_.back())
      wait(Index);
    return Index;
  }

  void remove(std::size_t Index) {
    if (Added_[Index])
      Budget_.remove(*Shares_[Index]);
    Added_[Index] = false;
  }

  /// The connection has answered and waits for the next request.
  void wait(std::size_t Index) {
    Budget_.onWaiting(*Shares_[Index], 0, ConnectionState::Idle, Start);
  }

  /// \returns false when the budget refuses what the connection holds then.
  bool receive(std::size_t Index, std::size_t Held, bool Unfinished,
               BudgetShare::Clock::time_point Now = Start) {
    const ConnectionState State =
        Unfinished ? ConnectionState::Receiving : ConnectionState::Serving;
    const bool Allowed = Budget_.onReceived(*Shares_[Index], Held, State, Now);
    if (Allowed && Unfinished)
      Budget_.onWaiting(*Shares_[Index], Held, State, Now);
    return Allowed;
  }

  /// A request of \p Held bytes is answered, and the client takes nothing of the answer.
  void answerUnread(std::size_t Index, std::size_t Held, std::size_t AnswerBytes) {
    cr_assert(receive(Index, Held, false));
    Budget_.onAnswer(Index, AnswerBytes);
    Budget_.onWriting(*Shares_[Index]);
  }
};

} // namespace

// --- Memory ---

// Load: large bodies that never end. Guards against ordinary requests that are refused because
// such bodies hold the budget.
Test(ConnectionBudget, theLargestUnfinishedRequestMakesRoom) {
  Connections All;
  const std::size_t Small = All.open();
  const std::size_t Large = All.open();
  const std::size_t Ordinary = All.open();
  cr_assert(All.receive(Small, 300, true));
  cr_assert(All.receive(Large, 600, true));
  cr_expect(All.receive(Ordinary, 200, false));
  cr_expect(All.Closed_[Large]);
  cr_expect(!All.Closed_[Small]);
  All.remove(Large);
  cr_expect_eq(All.Budget_.heldBytes(), 500);
}

// Guards against an account that forgets what a connection holds before it is free.
Test(ConnectionBudget, aClosedConnectionCountsUntilItIsRemoved) {
  Connections All;
  const std::size_t Large = All.open();
  const std::size_t Other = All.open();
  cr_assert(All.receive(Large, 900, true));
  cr_assert(All.receive(Other, 200, true));
  cr_assert(All.Closed_[Large]);
  cr_expect_eq(All.Budget_.heldBytes(), 1100);
  // Its memory is about to become free, so nothing else is closed for it.
  cr_expect(All.receive(Other, 300, true));
  cr_expect(!All.Closed_[Other]);
  All.remove(Large);
  cr_expect_eq(All.Budget_.heldBytes(), 300);
}

// Guards against one request that drives out all others.
Test(ConnectionBudget, theLargestRequestIsRefusedItself) {
  Connections All;
  const std::size_t Other = All.open();
  const std::size_t Large = All.open();
  cr_assert(All.receive(Other, 400, true));
  cr_expect(!All.receive(Large, 700, true));
  cr_expect(!All.Closed_[Other]);
}

// Guards against answers that are broken off: a request that has arrived whole is being served.
Test(ConnectionBudget, requestsThatAreServedAreNotClosed) {
  Connections All;
  const std::size_t Served = All.open();
  const std::size_t Next = All.open();
  cr_assert(All.receive(Served, 900, false));
  cr_expect(!All.receive(Next, 200, true));
  cr_expect(!All.Closed_[Served]);
  // It waits for the next request when it has answered.
  All.wait(Served);
  const std::size_t Later = All.open();
  cr_expect(All.receive(Later, 200, true));
}

// Guards against a client that keeps its connection open by sending a second request behind one
// whose answer it does not read.
Test(ConnectionBudget, anUnreadAnswerIsClosedLikeAnUnfinishedRequest) {
  Connections All;
  const std::size_t Unread = All.open();
  const std::size_t Next = All.open();
  All.answerUnread(Unread, 100, 700);
  cr_expect(All.receive(Unread, 150, false));
  cr_expect_geq(All.Budget_.heldBytes(), 850);
  cr_expect(All.receive(Next, 300, true));
  cr_expect(All.Closed_[Unread]);
}

// Guards against answers that stay in the account after the client has read them.
Test(ConnectionBudget, anAnswerCountsUntilItsLastByteIsSent) {
  Connections All;
  const std::size_t Reader = All.open();
  All.answerUnread(Reader, 100, 400);
  All.Budget_.onWritten(*All.Shares_[Reader], 300);
  All.wait(Reader);
  cr_expect_geq(All.Budget_.heldBytes(), 100);
  All.Budget_.onWriting(*All.Shares_[Reader]);
  All.Budget_.onWritten(*All.Shares_[Reader], 300);
  cr_expect_eq(All.Budget_.heldBytes(), 0);
}

// --- The connections themselves ---

// Guards against connections without a request that leave no memory for requests.
Test(ConnectionBudget, connectionsTakeHalfOfTheMemoryAtMost) {
  Connections All(50, 1000);
  cr_expect_eq(All.Budget_.maxConnections(), 10);
  for (int I = 0; I < 12; ++I)
    All.open();
  cr_expect_eq(std::ranges::count(All.Closed_, true), 2);
  cr_expect(All.Closed_[0] && All.Closed_[1]);
}

// Guards against requests that are refused because idle connections hold the budget.
Test(ConnectionBudget, idleConnectionsMakeRoomForARequest) {
  Connections All(50, 10);
  for (int I = 0; I < 10; ++I)
    All.open();
  cr_expect(All.receive(9, 600, false));
  cr_expect_eq(std::ranges::count(All.Closed_, true), 2);
  cr_expect(All.Closed_[0] && All.Closed_[1]);
}

// Guards against idle connections that are closed for a request which does not fit in any case.
Test(ConnectionBudget, idleConnectionsAreNotClosedInVain) {
  Connections All(50, 10);
  for (int I = 0; I < 10; ++I)
    All.open();
  cr_expect(!All.receive(9, 2000, true));
  cr_expect_eq(std::ranges::count(All.Closed_, true), 0);
}

// Guards against connections without a bound while none of them waits for data.
Test(ConnectionBudget, aConnectionBeyondThoseBeingServedIsRefused) {
  Connections All;
  for (int I = 0; I < 4; ++I)
    cr_assert(All.receive(All.open(), 10, false));
  const std::size_t Next = All.open();
  cr_expect(!All.Added_[Next]);
  cr_expect_eq(All.Budget_.connections(), 4);
  All.wait(0);
  cr_expect(All.Added_[All.open()]);
  cr_expect(All.Closed_[0]);
}

// Load: connections without requests. Guards against new callers that find no place.
Test(ConnectionBudget, theLongestInactiveConnectionMakesRoom) {
  Connections All;
  for (int I = 0; I < 4; ++I)
    All.open();
  All.receive(0, 10, true);
  All.open();
  cr_expect(!All.Closed_[0]);
  cr_expect(All.Closed_[1]);
}

// --- Time ---

// Load: requests that arrive byte by byte. Guards against connections that stay for good because
// each byte counts as progress.
Test(ConnectionBudget, aRequestThatTakesTooLongIsClosed) {
  Connections All;
  bool Watched = false;
  All.Budget_.onUnfinished([&] { Watched = true; });
  const std::size_t Slow = All.open();
  const std::size_t Idle = All.open();
  for (int Second = 0; Second < 9; ++Second) {
    cr_assert(All.receive(Slow, 10, true, Start + milliseconds(1000 * Second)));
    cr_expect(All.Budget_.closeSlow(Start + milliseconds(1000 * Second)));
  }
  cr_expect(Watched);
  cr_expect(!All.Budget_.closeSlow(Start + milliseconds(10'000)));
  cr_expect(All.Closed_[Slow]);
  cr_expect(!All.Closed_[Idle]);
}

// Guards against a request that is timed from the moment at which it arrived behind another one
// that was being served.
Test(ConnectionBudget, aRequestBehindAnotherIsTimedFromTheAnswer) {
  Connections All;
  const std::size_t Client = All.open();
  cr_assert(All.receive(Client, 10, false));
  const auto Answered = Start + milliseconds(9000);
  All.Budget_.onWaiting(*All.Shares_[Client], 5, ConnectionState::Receiving, Answered);
  cr_expect(All.Budget_.closeSlow(Start + milliseconds(12'000)));
  cr_expect(!All.Closed_[Client]);
  All.Budget_.closeSlow(Answered + milliseconds(10'000));
  cr_expect(All.Closed_[Client]);
}

// --- What a request holds ---

// Guards against a budget that counts bodies only: the library keeps a record for each chunk.
Test(RequestMeter, smallChunksCountWithTheirRecords) {
  constexpr std::size_t Chunks = 1000;
  const std::string Header = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  RequestMeter Meter;
  Meter.consume(Header);
  for (std::size_t I = 0; I < Chunks; ++I)
    Meter.consume("1\r\nx\r\n");
  cr_expect(Meter.isWithinRequest());
  cr_expect_geq(Meter.heldBytes(), 32 * Chunks);
  RequestMeter Large;
  Large.consume(Header);
  Large.consume("3e8\r\n" + std::string(Chunks, 'x') + "\r\n");
  cr_expect_leq(Large.heldBytes(), 4 * Chunks);
}

// Guards against a connection that is charged for requests which were answered long ago.
Test(RequestMeter, answeredRequestsAreReleased) {
  RequestMeter Meter;
  Meter.consume("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nabc");
  Meter.release();
  cr_expect_gt(Meter.heldBytes(), 0, "the request has not ended");
  Meter.consume("d");
  cr_expect(!Meter.isWithinRequest());
  Meter.release();
  cr_expect_eq(Meter.heldBytes(), 0);
  Meter.consume("GET / HTTP/1.1\r\n");
  cr_expect(Meter.isWithinRequest());
}

// Guards against header fields that are forgotten as soon as the body has begun.
Test(RequestMeter, fieldsCountBesideChunksAndInTheTrailingPart) {
  const std::string Value(1000, 'v');
  RequestMeter Meter;
  Meter.consume("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nA: " + Value + "\r\n\r\n");
  const std::size_t Header = Meter.heldBytes();
  cr_expect_geq(Header, 2 * Value.size());
  Meter.consume("1\r\nx\r\n");
  cr_expect_gt(Meter.heldBytes(), Header);
  Meter.consume("0\r\nB: " + Value);
  cr_expect_geq(Meter.heldBytes(), 2 * Header - 500);
}

// Guards against short fields that count with their bytes only: each is two strings and a record.
Test(RequestMeter, shortFieldsCountWithTheirRecords) {
  RequestMeter Meter;
  Meter.consume("GET / HTTP/1.1\r\n");
  const std::size_t Before = Meter.heldBytes();
  for (int I = 0; I < 60; ++I)
    Meter.consume("a:b\r\n");
  cr_expect_geq(Meter.heldBytes(), Before + std::size_t{60} * 128);
}

// Guards against a meter that takes the bytes behind a request for an upgrade for something else
// than the library's parser, which begins anew.
Test(RequestMeter, aRequestBehindOneForAnUpgradeIsMeasured) {
  RequestMeter Meter;
  Meter.consume("GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: none\r\n\r\n"
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  cr_expect(Meter.hasWholeRequest());
  cr_expect(Meter.isWithinRequest());
  Meter.release();
  const std::size_t Before = Meter.heldBytes();
  for (int I = 0; I < 1000; ++I)
    Meter.consume("1\r\nx\r\n");
  cr_expect(Meter.isWithinRequest());
  cr_expect_geq(Meter.heldBytes(), Before + std::size_t{32} * 1000);
}

// Guards against a connection that is taken for idle after a syntax error.
Test(RequestMeter, aSyntaxErrorIsReported) {
  RequestMeter Meter;
  Meter.consume("GET / HTTP/1.1\r\n\r\n");
  cr_expect(!Meter.hasFailed());
  Meter.consume("nonsense\r\n");
  cr_expect(Meter.hasFailed());
}

// Guards against copies of a request that are made while it is served and counted by nobody: the
// body itself, and the packed job for the store and for the call to the leader.
Test(RequestMeter, aServedRequestCountsWithItsCopies) {
  constexpr std::size_t BodyBytes = 10'000;
  constexpr std::size_t ServedBytes = 7000;
  RequestMeter Meter(ServedBytes);
  Meter.consume("POST / HTTP/1.1\r\nContent-Length: 10000\r\n\r\n" +
                std::string(BodyBytes - 1, 'x'));
  cr_expect_lt(Meter.heldBytes(), 4 * BodyBytes);
  Meter.consume("x");
  cr_expect_geq(Meter.heldBytes(), 5 * BodyBytes + ServedBytes);
  Meter.release();
  cr_expect_eq(Meter.heldBytes(), 0);
}
