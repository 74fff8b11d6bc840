/// \file
/// Checks shared by the scenarios about interactive requests.
#ifndef MASTICDRIFT_TESTS_INVARIANT_REQUESTCHECKS_H
#define MASTICDRIFT_TESTS_INVARIANT_REQUESTCHECKS_H

#include "invariant/Callers.h"
#include "masticdrift/policy/Executors.h"

#include <cstdio>

#include <criterion/criterion.h>

namespace masticdrift::testing {

inline const std::vector<std::string> Domains{"lahore-a", "faisalabad-b", "karachi-a"};

/// Applies switches to one executor of each domain.
inline void switchExecutors(Fleet &All, int Number, Json Switches) {
  for (const std::string &Domain : Domains) {
    Switches["executor"] = Domain + "-executor-" + std::to_string(Number);
    All.control(Standin::Executor, Switches);
  }
}

/// \returns true when every member of the fleet that is not in \p Except accepts requests of the
/// key.
inline bool keyWorksEverywhere(Fleet &All, const std::string &Key) {
  return std::ranges::all_of(All.names(), [&](const std::string &Name) {
    return waitFor(core::Millis(5000), [&] {
      return Api(All, Name).request("reorder", "probe", {.Key_ = Key}).Status_ == 200;
    });
  });
}

/// \returns the requests that one executor has received.
inline std::size_t requestsAt(Fleet &All, const std::string &Executor) {
  return All.control(Standin::Executor, {{"executor", Executor}})
      .at("received")
      .at(Executor)
      .get<std::size_t>();
}

/// \returns true when the healthy executor with this number of every domain receives requests again
/// within the longest ejection; each failed trial doubles the ejection.
inline bool serveAgain(Fleet &All, int Number) {
  const auto Longest =
      std::chrono::duration_cast<core::Millis>(policy::ExecutorLimits{}.MaxEjection_);
  return std::ranges::all_of(Domains, [&](const std::string &Domain) {
    const std::string Executor = Domain + "-executor-" + std::to_string(Number);
    const std::size_t Before = requestsAt(All, Executor);
    return waitFor(Longest, [&] { return requestsAt(All, Executor) > Before; });
  });
}

/// \returns the sum of one number, or of the sizes of one list, over the executors of a domain.
inline std::size_t sumIn(Fleet &All, const std::string &Domain, const char *Field) {
  const Json Executors = All.evidence(Standin::Executor).at("executors");
  std::size_t Sum = 0;
  for (const auto &[Name, One] : Executors.items())
    if (Name.starts_with(Domain))
      Sum += One.at(Field).is_array() ? One.at(Field).size() : One.at(Field).get<std::size_t>();
  return Sum;
}

/// Checks P5, P6 and P7 and that no executor was sent too much.
inline void expectPromisesKept(const char *Scope, const std::vector<Exchange> &Answers,
                               const Json &Executors, bool MayLose) {
  const Verdict Result = judge(Answers, Executors, MayLose);
  std::printf("%s: %s\n", Scope, Result.text().c_str());
  cr_expect(Result.Faults_.empty(), "%s: %s", Scope, Result.text().c_str());
  const std::string Over = overcommitted(Executors);
  cr_expect(Over.empty(), "%s: P1:%s", Scope, Over.c_str());
}

} // namespace masticdrift::testing

#endif // MASTICDRIFT_TESTS_INVARIANT_REQUESTCHECKS_H
