// Tests the outcome header of a request whose body exceeds the limit.
#include "support/Api.h"

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;

// Guards against a rejection without the outcome "not_run": the caller of a non-idempotent request
// would have to treat its outcome as unknown.
Test(OversizedBody, theAnswerSaysNotRun) {
  Fleet All;
  cr_assert(bringUp(All), "the fleet did not start");
  Api At(All, All.names().front());
  const std::string Key = At.createKey("mfi");
  const Reply Answer = At.request("reorder", std::string(1'048'577, 'x'), {.Key_ = Key});
  cr_expect_eq(Answer.Status_, 413, "%d %s", Answer.Status_, Answer.Body_.c_str());
  cr_expect(Answer.errorId() == "MD-102", "%s", Answer.Body_.c_str());
  cr_expect(Answer.Outcome_ == "not_run", "outcome \"%s\" instead of \"not_run\"",
            Answer.Outcome_.c_str());
}
