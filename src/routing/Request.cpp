#include "masticdrift/routing/Request.h"

namespace masticdrift::routing {

Outcome failedOutcome(core::ErrorKind Kind, std::string Message) {
  Outcome Result;
  Result.Kind_ = Kind;
  Result.Message_ = std::move(Message);
  Result.Ran_ = core::describe(Kind).Ran_;
  return Result;
}

bool certainlyNotRun(const Outcome &Result) {
  return Result.Kind_ != core::ErrorKind::None && Result.Ran_ == core::RunState::NotRun;
}

} // namespace masticdrift::routing
