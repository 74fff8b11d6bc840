#include "masticdrift/core/Error.h"
#include "masticdrift/http/Server.h"
#include "masticdrift/legacy/InstanceList.h"
#include "masticdrift/legacy/LogClient.h"
#include "masticdrift/legacy/WorkerClient.h"
#include "support/LogService.h"

#include <future>
#include <mutex>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::legacy;
using core::ErrorKind;
using tests::AppendBehavior;
using tests::LogService;
using tests::waitFor;

namespace {

std::pair<ErrorKind, std::uint64_t> appendAndWait(LogClient &Log, const std::string &Bytes) {
  std::promise<std::pair<ErrorKind, std::uint64_t>> Promise;
  Log.append("domain.a", Bytes, [&](std::error_code Error, std::uint64_t Offset) {
    Promise.set_value({core::kindOf(Error), Offset});
  });
  return Promise.get_future().get();
}

std::pair<ErrorKind, ReadResult> readAndWait(LogClient &Log, std::uint64_t FromOffset,
                                             std::uint32_t MaxRecords) {
  std::promise<std::pair<ErrorKind, ReadResult>> Promise;
  Log.read("domain.a", FromOffset, MaxRecords, [&](std::error_code Error, ReadResult Result) {
    Promise.set_value({core::kindOf(Error), std::move(Result)});
  });
  return Promise.get_future().get();
}

/// \returns a port without a listener.
std::uint16_t closedPort() {
  const http::Server Server({}, [](auto, auto) {});
  return Server.port();
}

/// A server that sends the same response to every request and records the requests.
struct FixedServer {
  explicit FixedServer(http::Response Answer)
      : Response_(std::move(Answer)),
        Server_({}, [this](http::Request Incoming, http::Responder Respond) {
          const std::lock_guard Lock(Mutex_);
          Requests_.push_back(std::move(Incoming));
          Respond(Response_);
        }) {}

  void set(http::Response Answer) {
    const std::lock_guard Lock(Mutex_);
    Response_ = std::move(Answer);
  }
  http::Request last() {
    const std::lock_guard Lock(Mutex_);
    return Requests_.back();
  }
  std::size_t requests() {
    const std::lock_guard Lock(Mutex_);
    return Requests_.size();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(Server_.port()); }

  std::mutex Mutex_;
  http::Response Response_;
  std::vector<http::Request> Requests_;
  http::Server Server_;
};

WorkerStatus startAndWait(WorkerClient &Client, const std::string &Address) {
  std::promise<WorkerStatus> Promise;
  StartRequest Request;
  Request.Id_ = "lahore-a/sindh/42#0";
  Request.Term_ = 7;
  Request.Attempt_ = 2;
  Request.Need_ = {1500, 2048, 1};
  Request.RunMs_ = 900;
  Client.startTask(Address, Request, [&](WorkerStatus Status) { Promise.set_value(Status); });
  return Promise.get_future().get();
}

std::pair<WorkerStatus, LeaseAnswer> leaseAndWait(WorkerClient &Client,
                                                  const std::string &Address) {
  std::promise<std::pair<WorkerStatus, LeaseAnswer>> Promise;
  Client.lease(Address, {3, "lahore-a-1", 10'000, {{"j#0", 1}}},
               [&](WorkerStatus Status, LeaseAnswer Answer) {
                 Promise.set_value({Status, std::move(Answer)});
               });
  return Promise.get_future().get();
}

} // namespace

// Guards against reporting an append as failed although the record may have been written. The
// caller would then be told "not run" for a job that may run.
Test(LogClientOutcome, eachResponseHasACertainOrUnknownOutcome) {
  LogService Service;
  http::Client Http;
  LogClient Log(Http, {Service.url(), std::chrono::milliseconds(150)});
  Service.plan({AppendBehavior::Acknowledge, AppendBehavior::Refuse, AppendBehavior::TooMany,
                AppendBehavior::Fail, AppendBehavior::AcceptWithoutAnswer,
                AppendBehavior::DropWithoutAnswer});
  const auto Accepted = appendAndWait(Log, "a");
  cr_assert(Accepted.first == ErrorKind::None);
  cr_assert_eq(Accepted.second, 0);
  cr_expect(appendAndWait(Log, "b").first == ErrorKind::StoreUnavailable, "503");
  cr_expect(appendAndWait(Log, "c").first == ErrorKind::StoreUnavailable, "429");
  cr_expect(appendAndWait(Log, "d").first == ErrorKind::AppendUnknown, "500");
  cr_expect(appendAndWait(Log, "e").first == ErrorKind::AppendUnknown, "accepted, no response");
  cr_expect(appendAndWait(Log, "f").first == ErrorKind::AppendUnknown, "not accepted, no response");

  LogClient UnreachableLog(Http, {"http://127.0.0.1:" + std::to_string(closedPort())});
  cr_expect(appendAndWait(UnreachableLog, "g").first == ErrorKind::StoreUnavailable,
            "not connected");
}

// Guards against a decoder that drops the end of the stream or its oldest offset.
Test(LogClientOutcome, aReadReturnsRecordsAndBounds) {
  LogService Service;
  for (int I = 0; I < 5; ++I)
    Service.put("r" + std::to_string(I));
  Service.expire(1);
  http::Client Http;
  LogClient Log(Http, {Service.url()});
  const auto [Kind, Read] = readAndWait(Log, 2, 2);
  cr_assert(Kind == ErrorKind::None);
  cr_assert_eq(Read.First_, 1);
  cr_assert_eq(Read.Next_, 5);
  cr_assert_eq(Read.Records_.size(), 2);
  cr_assert_eq(Read.Records_[0].Offset_, 2);
  cr_assert(Read.Records_[1].Bytes_ == "r3");
  Service.failReads(true);
  cr_assert(readAndWait(Log, 2, 2).first == ErrorKind::StoreUnavailable);
}

// Guards against decoding a malformed response as an empty stream: the reader would believe that it
// has caught up.
Test(LogClientOutcome, aMalformedReadIsAnError) {
  FixedServer Server({200, ""});
  http::Client Http;
  LogClient Log(Http, {"http://" + Server.address()});
  using Record = std::tuple<std::uint64_t, std::string>;
  const std::vector<std::string> Bodies{
      "",
      "\x90",
      core::pack(std::make_tuple(0, 0)),
      "text",
      core::pack(std::make_tuple(0, 1, std::vector<Record>{{1, "beyond next"}})),
      core::pack(std::make_tuple(0, 9, std::vector<Record>{{5, "a"}, {4, "out of order"}}))};
  for (const std::string &Body : Bodies) {
    Server.set({200, Body, "application/msgpack"});
    cr_expect(readAndWait(Log, 0, 10).first == ErrorKind::StoreUnavailable, "%zu bytes",
              Body.size());
  }
}

// Guards against rounding fractional cores to whole ones and against dropped fields.
Test(InstanceListParsing, aCompleteListIsDecoded) {
  const auto List = parseInstances(R"({"instances":[
    {"name":"w1","kind":"worker","domain":"lahore-a","region":"punjab","rack":"r1",
     "address":"127.0.0.1:9/w/w1","state":"leaving","cores":15.29,"memory_mb":32768,
     "accelerators":2},
    {"name":"e1","kind":"executor","address":"127.0.0.1:8","state":"live","pool":"reorder-desk",
     "slots":8,"connections":64},
    {"name":"x","kind":"router","address":"127.0.0.1:7"}]})");
  cr_assert(List.has_value());
  cr_assert_eq(List->size(), 2);
  const Instance &Worker = List->at(0);
  cr_assert(Worker.Kind_ == InstanceKind::Worker);
  cr_assert(Worker.Leaving_);
  cr_assert(Worker.Rack_ == "r1");
  cr_assert(Worker.Address_ == "127.0.0.1:9/w/w1");
  cr_assert(Worker.Capacity_ == (core::Resources{15'290, 32'768, 2}));
  const Instance &Executor = List->at(1);
  cr_assert(Executor.Kind_ == InstanceKind::Executor);
  cr_assert(!Executor.Leaving_);
  cr_assert(Executor.Pool_ == "reorder-desk");
  cr_assert_eq(Executor.Slots_, 8);
  cr_assert_eq(Executor.Connections_, 64);
}

// Guards against accepting a damaged list, which would make instances disappear.
Test(InstanceListParsing, aMalformedListIsRefused) {
  for (const char *Text :
       {"", "[]", "{}", R"({"instances":{}})", R"({"instances":[1]})",
        R"({"instances":[{"name":"a","address":"b"}]})",
        R"({"instances":[{"kind":"worker","address":"b"}]})",
        R"({"instances":[{"kind":"worker","name":"a"}]})",
        R"({"instances":[{"kind":"worker","name":"a","address":"b","cores":-1}]})",
        R"({"instances":[{"kind":"worker","name":"a","address":"b","cores":"4"}]})",
        R"({"instances":[{"kind":"worker","name":"a","address":"b","slots":1e300}]})"})
    cr_expect(!parseInstances(Text), "%s", Text);
}

// Guards against dropping all instances while the list service fails or sends invalid lists.
Test(InstanceListPolling, theLastValidListIsKept) {
  const std::string ValidList =
      R"({"instances":[{"name":"a","kind":"entry","address":"1.2.3.4:5","state":"live"}]})";
  FixedServer Server({503, "{}"});
  core::Timers Timers;
  http::Client Http;
  std::atomic<int> Changes{0};
  InstanceList List(Http, Timers,
                    {"http://" + Server.address() + "/instances", std::chrono::milliseconds(10)},
                    [&] { ++Changes; });
  List.start();
  cr_assert(waitFor([&] { return Server.requests() >= 2; }));
  cr_assert(List.current() == nullptr);
  cr_assert(!List.age(core::Clock::now()));

  Server.set({200, ValidList});
  cr_assert(waitFor([&] { return List.current() != nullptr; }));
  cr_assert(List.current()->Instances_.at(0).Name_ == "a");

  for (const http::Response &InvalidResponse :
       {http::Response{500, "{}"}, http::Response{200, "{\"inst"}}) {
    Server.set(InvalidResponse);
    const std::size_t RequestsBefore = Server.requests();
    cr_assert(waitFor([&] { return Server.requests() >= RequestsBefore + 3; }));
    cr_assert_eq(List.current()->Instances_.size(), 1);
  }
  const auto SentAt = List.current()->SentAt_;
  cr_assert(*List.age(SentAt + std::chrono::seconds(7)) == std::chrono::seconds(7));
  cr_assert_eq(Changes.load(), 1);
  List.stop();
  Timers.stop();
}

// Guards against reporting a command as without effect although it may have been executed.
Test(WorkerCommands, everyResponseMapsToOneStatus) {
  FixedServer Server({201, "{}"});
  http::Client Http;
  WorkerClient Client(Http, std::chrono::milliseconds(200));
  const std::string Address = Server.address() + "/w/w1";
  const std::vector<std::pair<http::Response, WorkerStatus>> Cases{
      {{201, "{}"}, WorkerStatus::Done},
      {{200, "{}"}, WorkerStatus::Done},
      {{409, R"({"term":9})"}, WorkerStatus::StaleTerm},
      {{409, ""}, WorkerStatus::StaleTerm},
      {{409, R"({"error":"another attempt"})"}, WorkerStatus::Refused},
      {{400, "{}"}, WorkerStatus::Refused},
      {{507, "{}"}, WorkerStatus::NoRoom},
      {{503, "{}"}, WorkerStatus::Leaving},
      {{500, "{}"}, WorkerStatus::NoAnswer},
  };
  for (const auto &[Answer, Expected] : Cases) {
    Server.set(Answer);
    cr_expect(startAndWait(Client, Address) == Expected, "status %d", Answer.Status_);
  }
  const std::string UnreachableAddress = "127.0.0.1:" + std::to_string(closedPort());
  cr_expect(startAndWait(Client, UnreachableAddress) == WorkerStatus::NotConnected);
  const http::Server SlowServer(
      {}, [](auto, auto) { std::this_thread::sleep_for(std::chrono::milliseconds(400)); });
  cr_expect(startAndWait(Client, "127.0.0.1:" + std::to_string(SlowServer.port())) ==
            WorkerStatus::NoAnswer);
}

// Guards against unescaped '/' and '#' in ids, which the worker would parse as path or fragment.
Test(WorkerCommands, anIdIsOnePathSegment) {
  FixedServer Server({201, "{}"});
  http::Client Http;
  WorkerClient Client(Http);
  startAndWait(Client, Server.address() + "/w/w1");
  const http::Request Seen = Server.last();
  const auto Segments = http::pathSegments(Seen.Path_);
  cr_assert_eq(Segments.size(), 4);
  cr_assert(Segments[1] == "w1");
  cr_assert(Segments[3] == "lahore-a/sindh/42#0");
  cr_assert(Seen.Method_ == "PUT");
  cr_assert(Seen.Body_.find("\"cores\":1.5") != std::string::npos, "%s", Seen.Body_.c_str());
}

// Guards against dropping a task of the response: a missing task counts as never run.
Test(WorkerCommands, aLeaseResponseIsCompleteOrUnknown) {
  FixedServer Server({200, R"({"boot":"b1","term":3,"leaving":true,"tasks":[
      {"id":"j#0","attempt":1,"state":"finished","exit":0},
      {"id":"j#1","attempt":2,"state":"stopped","exit":15,"reason":"checkpoint"}],
      "usage":{"cores":1.5,"memory_mb":100,"accelerators":1}})"});
  http::Client Http;
  WorkerClient Client(Http);
  const auto [Status, Answer] = leaseAndWait(Client, Server.address());
  cr_assert(Status == WorkerStatus::Done);
  cr_assert(Answer.Boot_ == "b1");
  cr_assert(Answer.Leaving_);
  cr_assert_eq(Answer.Tasks_.size(), 2);
  cr_assert(Answer.Tasks_[1].State_ == WorkerTaskState::Stopped);
  cr_assert(Answer.Tasks_[1].Reason_ == "checkpoint");
  cr_assert(Answer.Usage_ == (core::Resources{1500, 100, 1}));
  cr_assert(Server.last().Body_.find(R"("ack":[{"attempt":1,"id":"j#0"}])") != std::string::npos);

  Server.set({200, R"({"boot":"b1","term":3,"tasks":[{"id":"j#0","attempt":1,"state":"odd"}]})"});
  cr_assert(leaseAndWait(Client, Server.address()).first == WorkerStatus::NoAnswer);
  Server.set({409, R"({"term":12})"});
  const auto [RefusalStatus, HigherTermAnswer] = leaseAndWait(Client, Server.address());
  cr_assert(RefusalStatus == WorkerStatus::StaleTerm);
  cr_assert_eq(HigherTermAnswer.Term_, 12);
}
