/// \file
/// Token buckets that tell which jobs exceed a customer's submission rate.
#ifndef MASTICDRIFT_LEAD_RATETOKENS_H
#define MASTICDRIFT_LEAD_RATETOKENS_H

#include "masticdrift/core/Clock.h"

namespace masticdrift::lead {

/// Buckets of one customer with a capacity of one second.
///
/// First-priority jobs exceed the rate only when they alone do. Other jobs share what those leave,
/// so that a customer's long jobs don't go before its urgent ones when it submits too many of both.
struct RateTokens {
  double Urgent_ = 0; ///< tokens for jobs of the first priority
  double All_ = 0;    ///< tokens for all jobs; below zero when urgent jobs have used more
  core::TimePoint RefilledAt_{};
};

/// \returns the tokens at time \p Now.
///
/// \param Rate jobs a second.
RateTokens refilled(const RateTokens &Tokens, double Rate, core::TimePoint Now);

/// \returns true when a job exceeds the rate.
bool exceedsRate(const RateTokens &Refilled, bool Urgent);

/// Takes the token of a job.
/// \returns true when the job exceeds the rate; then it takes no token.
bool takeToken(RateTokens &Refilled, double Rate, bool Urgent);

} // namespace masticdrift::lead

#endif // MASTICDRIFT_LEAD_RATETOKENS_H
