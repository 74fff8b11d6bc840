/// \file
/// Retry budget: limits retries to a fraction of the requests.
#ifndef MASTICDRIFT_POLICY_RETRYBUDGET_H
#define MASTICDRIFT_POLICY_RETRYBUDGET_H

#include <algorithm>
#include <cstdint>

namespace masticdrift::policy {

/// Token bucket; 1000 tokens allow one retry. It starts empty, so that retries never exceed the
/// fraction of the requests seen so far.
struct RetryBudget {
  std::int64_t TokensPerRequest_ = 100; ///< added per request; 100 allows 10% retries
  std::int64_t MaxTokens_ = 20'000; ///< limits unused retries, so that an outage causes no burst
  std::int64_t Tokens_ = 0;
};

/// Records a first attempt.
inline void countRequest(RetryBudget &Budget) {
  Budget.Tokens_ = std::min(Budget.MaxTokens_, Budget.Tokens_ + Budget.TokensPerRequest_);
}

/// Takes the tokens for one retry.
/// \returns false if there are too few tokens; the request must then not be retried.
inline bool takeRetry(RetryBudget &Budget) {
  if (Budget.Tokens_ < 1000)
    return false;
  Budget.Tokens_ -= 1000;
  return true;
}

} // namespace masticdrift::policy

#endif // MASTICDRIFT_POLICY_RETRYBUDGET_H
