// Decoding and encoding of the platform's bodies.
#include "platform/Ingress.h"
#include "platform/Settings.h"
#include "platform/Store.h"
#include "platform/Text.h"

#include <criterion/criterion.h>

using namespace masticdrift;

// --- Submissions ---

Test(PlatformJob, allFieldsOfASubmissionAreDecoded) {
  const auto [Spec, Error] = platform::decodeJob(
      R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900,)"
      R"("affinity":"r1-3"},{"count":20,"cpu":2000,"depends_on":[0],"checkpointing":true,)"
      R"("gang":true,"max_per_server":2,"allow_duplicates":true,"new_field":1}]})");
  cr_assert(Spec.has_value(), "%s", Error.c_str());
  cr_expect(Spec->Payload_ == "text");
  cr_assert_eq(Spec->Steps_.size(), 2);
  cr_expect(Spec->Steps_[0].Need_ == (core::Resources{500, 256, 0}));
  cr_expect(Spec->Steps_[0].PreferredRack_ == "r1-3");
  cr_expect(Spec->Steps_[1].DependsOn_ == std::vector<std::uint32_t>{0});
  cr_expect(Spec->Steps_[1].Checkpointing_ && Spec->Steps_[1].Gang_ &&
            Spec->Steps_[1].AllowDuplicates_);
  cr_expect_eq(Spec->Steps_[1].MaxPerExecutor_, 2);
}

// Guards against accepting jobs that can never run or that make the daemon allocate without limit.
Test(PlatformJob, malformedSubmissionsAreRejectedWithAReason) {
  for (const char *Body :
       {"", "[]", "{", R"({"spec":"x"})", R"({"steps":[]})", R"({"steps":[{"count":0}]})",
        R"({"steps":[1]})", R"({"steps":[{"count":1,"depends_on":[0]}]})",
        R"({"steps":[{"count":4000000000}]})", R"({"steps":[{"count":-1}]})",
        R"({"steps":[{"count":1}],"run_count":3})"}) {
    const auto [Spec, Error] = platform::decodeJob(Body);
    cr_expect(!Spec.has_value(), "%s", Body);
    cr_expect(!Error.empty(), "%s", Body);
  }
}

// Guards against payloads and steps beyond the platform's limits: every start carries the payload,
// and the steps of a body take many times its size.
Test(PlatformJob, payloadsAndStepsAreLimited) {
  const auto WithPayload = [](std::size_t Bytes) {
    return R"({"spec":")" + std::string(Bytes, 'x') + R"(","steps":[{"count":1}]})";
  };
  cr_expect(platform::decodeJob(WithPayload(4000)).first.has_value());
  const auto [TooLong, PayloadError] = platform::decodeJob(WithPayload(4001));
  cr_expect(!TooLong.has_value());
  cr_expect(PayloadError.find("spec") != std::string::npos);
  std::string Body = R"({"steps":[{"count":1})";
  for (int I = 0; I < 20'000; ++I)
    Body += R"(,{"count":1})";
  cr_expect(!platform::decodeJob(Body + "]}").first.has_value());
}

// Guards against a job with a number that is too large for it: each leader would end when it keeps
// the state of four billion occurrences, and tasks that need less than nothing would make room.
Test(PlatformJob, aNumberThatIsOutOfRangeIsRejectedWithAReason) {
  for (const char *Body : {R"({"steps":[{"count":1}],"run_count":4000000000,"interval_ms":1})",
                           R"({"steps":[{"count":1000}],"run_count":201,"interval_ms":1})",
                           R"({"steps":[{"count":1}],"run_count":1e30,"interval_ms":1})",
                           R"({"steps":[{"count":1}],"run_count":2,"interval_ms":9e18})",
                           R"({"steps":[{"count":1,"cpu":-1000}]})",
                           R"({"steps":[{"count":1,"mem_mb":9000000000000000000}]})",
                           R"({"steps":[{"count":1,"gpu":18446744073709551615}]})",
                           R"({"steps":[{"count":1,"estimated_ms":1e300}]})"}) {
    const auto [Spec, Error] = platform::decodeJob(Body);
    cr_expect(!Spec.has_value(), "%s", Body);
    cr_expect(!Error.empty(), "%s", Body);
  }
  const auto [Spec, Error] = platform::decodeJob(
      R"({"steps":[{"count":1000,"cpu":500.0}],"run_count":200,"interval_ms":60000,)"
      R"("first_run_ms":1780000000000})");
  cr_assert(Spec.has_value(), "%s", Error.c_str());
  cr_expect_eq(Spec->RunCount_, 200);
  cr_expect_eq(Spec->FirstRunMs_, 1'780'000'000'000);
}

Test(PlatformJob, aJobIdHas16HexadecimalDigits) {
  cr_expect(platform::isJobId("5c0e7a21d94b36f8"));
  for (const char *Text : {"", "5c0e7a21d94b36f", "5c0e7a21d94b36f80", "5c0e7a21d94b36g8"})
    cr_expect(!platform::isJobId(Text), "%s", Text);
}

// --- Configuration ---

Test(PlatformManifest, queuesCustomersAndKeysAreDecoded) {
  const auto Manifest = platform::decodeManifest(
      R"({"version":7,"routes":[{"name":"r","host":"a.example","path_prefix":"/p/","service":"s",)"
      R"("priority":2,"max_attempts":4,"stretch":1.5,"target_completion_ms":400,)"
      R"("advice":{"decide_ms":21.0,"each_ms":0.3,"valid_ms":2500}}],)"
      R"("services":[{"name":"s","admission_check":true}],)"
      R"("tenants":[{"name":"t","api_keys":["k1","k2"],"weight":10,"upper_limit":{"cpu":5}}]})");
  cr_assert(Manifest.has_value());
  cr_expect_eq(Manifest->Version_, 7);
  cr_assert_eq(Manifest->Queues_.size(), 1);
  cr_expect(Manifest->Queues_[0].Advice_->TicketValidMs_ == 2500);
  cr_expect(Manifest->Pools_.at("s").ChecksAdmission_);
  cr_expect(Manifest->CustomerOfKey_.at("k2") == "t");
  cr_expect_eq(Manifest->Customers_.at("t").UpperLimit_.MilliCores_, 5);
}

// Guards against a daemon that fails on a configuration with unexpected types.
Test(PlatformManifest, fieldsOfWrongTypesAreLeftOut) {
  cr_expect(!platform::decodeManifest("not json").has_value());
  cr_expect(!platform::decodeManifest(R"({"routes":[]})").has_value());
  const auto Manifest = platform::decodeManifest(
      R"({"version":2,"routes":[5,{"name":7}],"services":{},"tenants":[{"api_keys":"x"}]})");
  cr_assert(Manifest.has_value());
  cr_expect(Manifest->CustomerOfKey_.empty());
}

Test(PlatformManifest, theLongestPrefixOfTheHostWins) {
  work::Manifest Manifest;
  Manifest.Queues_ = {{.Name_ = "short", .Host_ = "h", .PathPrefix_ = "/a/"},
                      {.Name_ = "long", .Host_ = "h", .PathPrefix_ = "/a/b/"},
                      {.Name_ = "other", .Host_ = "x", .PathPrefix_ = "/a/b/c/"}};
  cr_expect(work::findQueue(Manifest, "h:80", "/a/b/c/1")->Name_ == "long");
  cr_expect(work::findQueue(Manifest, "h", "/a/1")->Name_ == "short");
  cr_expect_null(work::findQueue(Manifest, "h", "/z"));
}

// --- Executors ---

Test(PlatformExecutor, entriesThatDescribeNoExecutorAreLeftOut) {
  const std::string ValidEntry =
      R"({"service":"s","address":"10.0.0.1:1","zone":"z","state":"draining",)"
      R"("drain_remaining_ms":900,"capacity":{"cpu":16000,"mem_mb":1,"gpu":0},)"
      R"("labels":["a","r1-3"],"born":5})";
  const auto Executor = platform::decodeExecutor("i-1", ValidEntry);
  cr_assert(Executor.has_value());
  cr_expect(Executor->Draining_ && Executor->DrainRemainingMs_ == 900 &&
            Executor->IncarnationStartMs_ == 5);
  cr_expect(fleet::rackOf(*Executor) == "r1-3");
  for (const char *Text :
       {"\x80\x81", "5", "{}", R"({"service":"s","address":"a","state":"odd","capacity":{}})",
        R"({"service":1,"address":"a","state":"ready","capacity":{}})",
        R"({"service":"s","address":"a","state":"ready","capacity":3})"})
    cr_expect(!platform::decodeExecutor("i-1", Text).has_value(), "%s", Text);
}

Test(PlatformExecutor, reportsAndOrderResponsesAreDecoded) {
  const auto Report = platform::decodeReport(
      R"({"clock_ms":9,"born":3,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41,7],["bad",1,"",0]],)"
      R"("ended":[[58,"5c0e7a21d94b36f8.2.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.0.0",1,"odd"]]})");
  cr_assert(Report.has_value());
  cr_assert_eq(Report->Running_.size(), 1);
  cr_expect(Report->Running_[0].Task_ == (work::TaskRef{"5c0e7a21d94b36f8", 0, 1, 17}));
  cr_assert_eq(Report->Ended_.size(), 1);
  cr_expect_eq(Report->Ended_[0].Task_.Occurrence_, 2);
  using enum fleet::OrderOutcome;
  cr_expect(platform::decodeOrderResponse(200, R"({"clock_ms":5})").ClockMs_ == 5);
  cr_expect(platform::decodeOrderResponse(409, R"({"reason":"fence"})").Outcome_ == Fenced);
  cr_expect(platform::decodeOrderResponse(409, R"({"reason":"old"})").Outcome_ == Superseded);
  cr_expect(platform::decodeOrderResponse(421, "").Outcome_ == OtherInstance);
  cr_expect(platform::decodeOrderResponse(503, "").Outcome_ == Unhealthy);
  // An order with an ambiguous response may have been executed.
  cr_expect(platform::decodeOrderResponse(500, "").Outcome_ == NoAnswer);
}

// Guards against casts of numbers that do not fit, which differ between processors: a run would get
// another number, and an end another place in the order.
Test(PlatformExecutor, rowsWithNumbersOutOfRangeAreLeftOut) {
  const auto Report = platform::decodeReport(
      R"({"clock_ms":9,"running":[["5c0e7a21d94b36f8.0.1.1",-2,"",4],)"
      R"(["5c0e7a21d94b36f8.0.1.2",1e30,"",4],["5c0e7a21d94b36f8.0.1.3",18446744073709551615,"",4],)"
      R"(["5c0e7a21d94b36f8.0.1.4",2,"",1e30]],)"
      R"("ended":[[-1,"5c0e7a21d94b36f8.0.1.5",1,"done",""],[1e30,"5c0e7a21d94b36f8.0.1.6",1,"done"],)"
      R"([7,"5c0e7a21d94b36f8.0.1.7",-1,"done",""],[8,"5c0e7a21d94b36f8.0.1.8",3,"done",""]]})");
  cr_assert(Report.has_value());
  // A run whose percentage is out of range is still running.
  cr_assert_eq(Report->Running_.size(), 1);
  cr_expect_eq(Report->Running_[0].Run_, 2);
  cr_expect_eq(Report->Running_[0].ProgressPercent_, 0);
  cr_assert_eq(Report->Ended_.size(), 1);
  cr_expect_eq(Report->Ended_[0].SequenceNumber_, 8);
  for (const char *Number : {"1e30", "18446744073709551615", "-9000000000000000000", "\"9\""})
    cr_expect(!platform::decodeReport(std::string(R"({"running":[],"ended":[],"clock_ms":)") +
                                      Number + "}")
                   .has_value(),
              "%s", Number);
}

// --- Log service ---

Test(PlatformLog, encodedRecordsAreDecodedUnchanged) {
  const std::vector<platform::KeyedRecord> Records{{0, "k1", "value"}, {0, "k2", ""}};
  const std::string Header("\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\0", 16);
  const auto Read = platform::decodeRead(Header + platform::encodeRecords(Records), 7);
  cr_assert(Read.Outcome_ == platform::ReadOutcome::Complete);
  cr_expect_eq(Read.End_, 9);
  cr_assert_eq(Read.Records_.size(), 2);
  cr_expect(Read.Records_[0].Key_ == "k1" && Read.Records_[0].Value_ == "value");
  cr_expect(Read.Records_[1].Offset_ == 8 && Read.Records_[1].Value_.empty());
}

// Guards against reading past the end of a truncated response.
Test(PlatformLog, aTruncatedResponseLosesOnlyItsLastRecord) {
  const std::vector<platform::KeyedRecord> Records{{0, "k1", "value"}, {0, "k2", "other"}};
  const std::string Header("\0\0\0\0\0\0\0\x02\0\0\0\0\0\0\0\0", 16);
  std::string Body = Header + platform::encodeRecords(Records);
  Body.resize(Body.size() - 3);
  cr_expect_eq(platform::decodeRead(Body, 0).Records_.size(), 1);
  cr_expect(platform::decodeRead("short", 0).Outcome_ == platform::ReadOutcome::Failed);
}

// --- Settings ---

// Guards against a daemon that listens on another port than the one in its settings.
Test(PlatformSettings, aPortOutOfRangeIsNamed) {
  for (const char *Port : {"65536", "99999", "-1", "1e30", "\"7420\""}) {
    platform::MachineSettings Settings;
    std::string Error;
    cr_expect(!platform::decodeSettings(
                  std::string(R"({"node_name":"n","zone":"z","ip":"10.0.0.1","internal_ports":[)") +
                      Port +
                      R"(],"bind_addresses":{"frontend":"10.0.0.1:8183","ready":"10.0.0.1:8184"},)"
                      R"("platform":{"address":"10.0.0.2:1"}})",
                  Settings, Error),
              "%s", Port);
    cr_expect(Error.find("/internal_ports/0") != std::string::npos, "%s", Error.c_str());
  }
}

Test(PlatformSettings, aMissingFieldIsNamed) {
  platform::MachineSettings Settings;
  std::string Error;
  cr_expect(!platform::decodeSettings("{}", Settings, Error));
  cr_expect(Error.find("/node_name") != std::string::npos, "%s", Error.c_str());
  cr_assert(platform::decodeSettings(
                R"({"node_name":"n","zone":"z","ip":"10.0.0.1","internal_ports":[7420,7435],)"
                R"("bind_addresses":{"frontend":"10.0.0.1:8183","ready":"10.0.0.1:8184"},)"
                R"("platform":{"address":"10.0.0.2:1"},"heartbeat_ms":1000,)"
                R"("bounds":{"status_s":120,"contact_ms":4000},"odd":[]})",
                Settings, Error),
            "%s", Error.c_str());
  cr_expect_eq(Settings.PeerEndpoint_.Port_, 7420);
  cr_expect_eq(Settings.EndedJobRetentionMs_, 120'000);
  cr_expect_eq(Settings.MaxListDelayMs_, 5'000);
}
