#include "masticdrift/lead/WaitReason.h"

namespace masticdrift::lead {

namespace {

constexpr std::array<std::string_view, WaitReasons> Names{
    "none",           "earlier_runs",   "starts_in_flight", "customer_limit", "customer_reserve",
    "overdue_turn",   "suspect",        "no_room",          "advice_pending", "covered",
    "retry_delay",    "exhausted_need", "all_advised",      "call_limit",     "allowed_regions",
    "urgent_reserve", "run_limit"};

/// A wait is logged when it has lasted this long.
constexpr core::Millis LoggedWaitTime{1000};
/// Limit of the lines in each window; a backlog has thousands of waiting steps.
constexpr int MaxLinesPerWindow = 20;
constexpr core::Millis WindowLength{1000};

/// \returns millicores, megabytes and accelerators.
std::string toText(const core::Resources &Amounts) {
  return std::to_string(Amounts.MilliCores_) + '/' + std::to_string(Amounts.MemoryMb_) + '/' +
         std::to_string(Amounts.Accelerators_);
}

} // namespace

std::string_view nameOf(WaitReason Reason) { return Names[static_cast<std::size_t>(Reason)]; }

void noteWait(StepWait &Noted, WaitReason Reason, core::TimePoint Now) {
  if (Reason != Noted.Reason_ || Reason == WaitReason::None)
    Noted = {Reason, Now, false};
}

bool WaitLogBudget::take(StepWait &Logged, core::TimePoint Now) {
  if (Logged.Reason_ == WaitReason::None || Logged.Logged_ || Now - Logged.Since_ < LoggedWaitTime)
    return false;
  if (Now - WindowBegin_ >= WindowLength) {
    WindowBegin_ = Now;
    LinesInWindow_ = 0;
  }
  if (LinesInWindow_ >= MaxLinesPerWindow)
    return false;
  ++LinesInWindow_;
  return Logged.Logged_ = true;
}

std::string describeWait(const StepWait &Logged, const WaitFigures &Figures, core::TimePoint Now) {
  return std::string(nameOf(Logged.Reason_)) + " for " +
         std::to_string(core::toMillis(Now - Logged.Since_)) + " ms, waiting " +
         std::to_string(Figures.Waiting_) + " wanted " + std::to_string(Figures.Wanted_) +
         " covered " + std::to_string(Figures.Covered_) + " tickets " +
         std::to_string(Figures.Tickets_) + " with room " +
         std::to_string(Figures.TicketsWithRoom_) + " open with room " +
         std::to_string(Figures.OpenWithRoom_) + " used " + toText(Figures.Used_) + " reserved " +
         toText(Figures.Reserved_) + " limit " + toText(Figures.Limit_);
}

std::string describeCounts(const WaitCounts &Counts) {
  std::string Text;
  for (std::size_t I = 0; I < WaitReasons; ++I)
    if (Counts[I] > 0)
      Text += (Text.empty() ? "" : ", ") + std::string(Names[I]) + ' ' + std::to_string(Counts[I]);
  return Text;
}

} // namespace masticdrift::lead
