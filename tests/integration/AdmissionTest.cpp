// Jobs that can't be done in time are refused at any daemon, as real processes.
#include "support/PlatformFleet.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;
using core::Millis;

namespace {

constexpr int DaemonCount = 3;

/// A customer that may submit one job a second and use half a core.
Json tightManifest() {
  Json Manifest = initialManifest();
  Manifest["version"] = 2;
  for (Json &Tenant : Manifest["tenants"])
    if (Tenant["name"] == "mfi") {
      Tenant["weight"] = 1;
      Tenant["upper_limit"] = {{"cpu", 500}, {"mem_mb", 0}, {"gpu", 0}};
    }
  return Manifest;
}

std::string jobId(int Number) {
  char Text[17];
  std::snprintf(Text, sizeof Text, "%016x", Number);
  return Text;
}

std::string job(int Count, int MilliCores) {
  return Json{
      {"spec", "ms=500"},
      {"steps", {{{"count", Count}, {"cpu", MilliCores}, {"mem_mb", 100}, {"estimated_ms", 500}}}}}
      .dump();
}

std::int64_t retryAfter(const http::ClientResult &Result) {
  const std::string_view Value = http::findHeader(Result.Answer_.Headers_, "Retry-After");
  return Value.empty() ? 0 : std::stol(std::string(Value));
}

} // namespace

// Load: a customer submits far more than its limit can do. Guards against a backlog of minutes, and
// against a refusal at one daemon only or without a time to come back; what was accepted is done.
Test(Admission, aSurgeIsRefusedAtEveryDaemon) {
  PlatformFleet Fleet(DaemonCount, 2);
  Fleet.control({{"manifest", tightManifest()}});
  for (int I = 0; I < DaemonCount; ++I)
    cr_assert(waitFor(Millis(5000), [&] {
      return Fleet.metrics(I).find("\nmasticdrift_config_version 2\n") != std::string::npos;
    }));
  std::vector<int> Refusals(DaemonCount);
  std::vector<std::string> Accepted;
  for (int I = 0; I < 60; ++I) {
    const int Daemon = I % DaemonCount;
    const http::ClientResult Result = Fleet.call(Daemon, "POST", "/q/" + jobId(I + 1), job(1, 500));
    if (Result.Answer_.Status_ == 429) {
      ++Refusals[static_cast<std::size_t>(Daemon)];
      cr_expect_geq(retryAfter(Result), 1);
      cr_expect_leq(retryAfter(Result), 20);
      cr_expect(Result.Answer_.Body_.find("MD-304") != std::string::npos);
    } else {
      cr_assert_eq(Result.Answer_.Status_, 200);
      Accepted.push_back(jobId(I + 1));
    }
  }
  for (const int Count : Refusals)
    cr_expect_gt(Count, 0);
  cr_expect_gt(Accepted.size(), 0);
  // A repeated submission of an accepted job is answered like the first.
  cr_expect_eq(Fleet.call(1, "POST", "/q/" + Accepted.front(), job(1, 500)).Answer_.Status_, 200);
  // Other customers are not refused.
  cr_expect_eq(
      Fleet.call(2, "POST", "/q/" + jobId(1000), job(1, 500), OtherCallerKey).Answer_.Status_, 200);
  for (const std::string &Id : Accepted)
    cr_expect(Fleet.awaitState(0, Id, "completed", Millis(60'000)), "%s", Id.c_str());
}

// Guards against a job that waits for good because no executor is as large as one of its tasks.
Test(Admission, aTaskLargerThanAnyExecutorIsRefusedForGood) {
  PlatformFleet Fleet(2, 2);
  const auto Refused = [&] {
    static int Number = 2000;
    const http::ClientResult Result =
        Fleet.call(0, "POST", "/q/" + jobId(++Number), job(1, 1'000'000));
    return Result.Answer_.Status_ == 400 &&
           Result.Answer_.Body_.find("MD-302") != std::string::npos;
  };
  // Once the leader has seen the executors for some seconds.
  cr_expect(waitFor(Millis(20'000), Refused));
  cr_expect_eq(Fleet.submit(1, jobId(3000), {}).Answer_.Status_, 200);
}
