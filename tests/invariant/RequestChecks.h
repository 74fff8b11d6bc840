/// \file
/// Checks shared by the tests of interactive requests.
#ifndef MASTICDRIFT_TESTS_INVARIANT_REQUESTCHECKS_H
#define MASTICDRIFT_TESTS_INVARIANT_REQUESTCHECKS_H

#include "invariant/Callers.h"
#include "masticdrift/policy/Executors.h"

#include <cstdio>

#include <criterion/criterion.h>

namespace masticdrift::testing {

inline const std::vector<std::string> DomainNames{"lahore-a", "faisalabad-b", "karachi-a"};

/// Sets fault switches of one executor stand-in in each domain.
inline void setExecutorSwitches(Fleet &TestFleet, int ExecutorNumber, Json Switches) {
  for (const std::string &Domain : DomainNames) {
    Switches["executor"] = Domain + "-executor-" + std::to_string(ExecutorNumber);
    TestFleet.control(Standin::Executor, Switches);
  }
}

/// Waits until every daemon of the fleet accepts requests with the key.
/// \returns false if a daemon did not accept one within 5 s.
inline bool awaitKeyEverywhere(Fleet &TestFleet, const std::string &Key) {
  return std::ranges::all_of(TestFleet.names(), [&](const std::string &Name) {
    return waitFor(core::Millis(5000), [&] {
      return Api(TestFleet, Name).request("reorder", "probe", {.Key_ = Key}).Status_ == 200;
    });
  });
}

/// \returns the number of requests that one executor has received.
inline std::size_t requestsReceived(Fleet &TestFleet, const std::string &Executor) {
  return TestFleet.control(Standin::Executor, {{"executor", Executor}})
      .at("received")
      .at(Executor)
      .get<std::size_t>();
}

/// Waits until the executor with this number, healthy again, receives requests in every domain.
/// \returns false if one of them got none within the longest ejection period. Each failed trial
/// request doubles the period up to that limit.
inline bool awaitReadmission(Fleet &TestFleet, int ExecutorNumber) {
  const auto MaxEjection =
      std::chrono::duration_cast<core::Millis>(policy::ExecutorLimits{}.MaxEjection_);
  return std::ranges::all_of(DomainNames, [&](const std::string &Domain) {
    const std::string Executor = Domain + "-executor-" + std::to_string(ExecutorNumber);
    const std::size_t ReceivedBefore = requestsReceived(TestFleet, Executor);
    return waitFor(MaxEjection,
                   [&] { return requestsReceived(TestFleet, Executor) > ReceivedBefore; });
  });
}

/// \returns the sum of a numeric field, or of the sizes of a list field, over the executors of a
/// domain.
inline std::size_t sumOverDomain(Fleet &TestFleet, const std::string &Domain, const char *Field) {
  const Json Executors = TestFleet.evidence(Standin::Executor).at("executors");
  std::size_t Sum = 0;
  for (const auto &[Name, Executor] : Executors.items())
    if (Name.starts_with(Domain))
      Sum += Executor.at(Field).is_array() ? Executor.at(Field).size()
                                           : Executor.at(Field).get<std::size_t>();
  return Sum;
}

/// Expects that P5, P6 and P7 hold and that no executor was overcommitted (P1).
inline void expectInvariants(const char *Scope, const std::vector<RequestRecord> &Records,
                             const Json &Executors, bool ConnectionsMayBreak) {
  const CheckResult Result = checkAnswers(Records, Executors, ConnectionsMayBreak);
  std::printf("%s: %s\n", Scope, Result.summary().c_str());
  cr_expect(Result.Violations_.empty(), "%s: %s", Scope, Result.summary().c_str());
  const std::string Overcommitted = overcommittedExecutors(Executors);
  cr_expect(Overcommitted.empty(), "%s: P1:%s", Scope, Overcommitted.c_str());
}

} // namespace masticdrift::testing

#endif // MASTICDRIFT_TESTS_INVARIANT_REQUESTCHECKS_H
