// The outcome header of a request whose body is over the limit.
#include "support/Api.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;

// Guards against a refusal that does not say "not run": the caller of a non-idempotent request then
// has to treat its outcome as unknown.
Test(OversizedBody, theAnswerSaysNotRun) {
  Fleet All;
  cr_assert(bringUp(All), "the fleet did not come up");
  Api At(All, All.names().front());
  const std::string Key = At.createKey("mfi");
  const Reply Got = At.request("reorder", std::string(1'048'577, 'x'), {.Key_ = Key});
  cr_expect_eq(Got.Status_, 413, "%d %s", Got.Status_, Got.Body_.c_str());
  cr_expect(Got.errorId() == "MD-102", "%s", Got.Body_.c_str());
  cr_expect(Got.Outcome_ == "not_run", "outcome \"%s\"", Got.Outcome_.c_str());
}
