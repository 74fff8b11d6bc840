#include "masticdrift/lead/RateTokens.h"

#include <algorithm>

namespace masticdrift::lead {

RateTokens refilled(const RateTokens &Tokens, double Rate, core::TimePoint Now) {
  if (Tokens.RefilledAt_ == core::TimePoint{})
    return {Rate, Rate, Now};
  const double Added =
      Rate * std::max(0.0, std::chrono::duration<double>(Now - Tokens.RefilledAt_).count());
  return {std::min(Rate, Tokens.Urgent_ + Added), std::min(Rate, Tokens.All_ + Added),
          std::max(Tokens.RefilledAt_, Now)};
}

bool exceedsRate(const RateTokens &Refilled, bool Urgent) {
  return (Urgent ? Refilled.Urgent_ : Refilled.All_) < 1;
}

bool takeToken(RateTokens &Refilled, double Rate, bool Urgent) {
  if (exceedsRate(Refilled, Urgent))
    return true;
  if (Urgent)
    Refilled.Urgent_ -= 1;
  Refilled.All_ = std::max(Refilled.All_ - 1, -Rate);
  return false;
}

} // namespace masticdrift::lead
