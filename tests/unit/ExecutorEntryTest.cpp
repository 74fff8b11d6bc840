// Entries of the executor list that come from another writer: any key and any value.
#include "platform/Text.h"

#include <array>
#include <string>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace masticdrift;
using nlohmann::json;

namespace {

constexpr std::size_t MaxRecordBytes = 262'144; ///< largest record of the log service

json validEntry() {
  return {{"service", "pool"},
          {"address", "10.0.0.1:8080"},
          {"zone", "lahore-a"},
          {"state", "ready"},
          {"capacity", {{"cpu", 16'000}, {"mem_mb", 32'768}, {"gpu", 0}}},
          {"labels", {"a", "r1-3"}},
          {"born", 1'780'000'000'000}};
}

bool isAccepted(std::string_view Id, std::string_view Text) {
  return platform::decodeExecutor(Id, Text).has_value();
}

/// \returns true when an entry with \p Value, given as JSON, in \p Field is accepted.
bool isAcceptedWith(const char *Field, std::string_view Value) {
  std::string Text = validEntry().dump();
  // Appended: of two fields with the same name the last one counts.
  Text.back() = ',';
  return isAccepted("i-1", Text + '"' + Field + "\":" + std::string(Value) + '}');
}

void expectRejected(const char *Field, std::initializer_list<const char *> Values) {
  for (const char *Value : Values)
    cr_expect(!isAcceptedWith(Field, Value), "%s: %s", Field, Value);
}

void expectAccepted(const char *Field, std::initializer_list<const char *> Values) {
  for (const char *Value : Values)
    cr_expect(isAcceptedWith(Field, Value), "%s: %s", Field, Value);
}

std::string nested(std::size_t Depth, const char *Open, const char *Close) {
  std::string Text;
  for (std::size_t I = 0; I < Depth; ++I)
    Text += Open;
  for (std::size_t I = 0; I < Depth; ++I)
    Text += Close;
  return Text;
}

} // namespace

// --- The executor's id becomes a header, a key of the roster and part of advice requests ---

// Guards against ids that end the process when they are encoded as JSON, that add headers to
// orders, or that do not fit into a key of the roster.
Test(ExecutorEntry, anIdThatCannotBeSentNamesNoExecutor) {
  const std::string Entry = validEntry().dump();
  const std::array<std::string, 9> OddIds{
      "",    "i-\xff\xfe", "i-\xc3\xa4",          "i-1\r\nX-Odd: 1",    std::string("i-\0x", 4),
      "i 1", "i-\x7f",     std::string(255, 'i'), std::string(247, 'i')};
  for (const std::string &Id : OddIds)
    cr_expect(!isAccepted(Id, Entry), "%s", Id.c_str());
  for (const std::string &Id : {std::string("i-bce8973416"), std::string(246, 'i')})
    cr_expect(isAccepted(Id, Entry), "%s", Id.c_str());
}

// --- The address becomes part of the URL of each order ---

// Guards against orders to an address without a usable port, with parts that change the request,
// or with a name: the resolver of the HTTP client may block the event loop for seconds.
Test(ExecutorEntry, onlyAnIpAddressWithAPortIsAnAddress) {
  expectRejected("address", {R"("10.0.0.1:0")",
                             R"("10.0.0.1:65536")",
                             R"("10.0.0.1:99999")",
                             R"("10.0.0.1:99999999999999999999")",
                             R"("10.0.0.1:-1")",
                             R"("10.0.0.1:+80")",
                             R"("10.0.0.1:80x")",
                             R"("10.0.0.1: 80")",
                             R"("10.0.0.1:")",
                             R"("10.0.0.1")",
                             R"(":80")",
                             R"("")",
                             R"("0.0.0.0:80")",
                             R"("256.0.0.1:80")",
                             R"("10.1:80")",
                             R"("host.example:80")",
                             R"("a\u0000:80")",
                             R"("10.0.0.1:80\r\nX-Odd: 1")",
                             R"("user@10.0.0.1:80")",
                             R"("10.0.0.1:80@10.0.0.2:80")",
                             R"("http://10.0.0.1:80")",
                             R"("10.0.0.1:80?x=")",
                             R"("10.0.0.1:80#x")",
                             R"("10.0.0.1:80/%00")",
                             R"("::1:80")",
                             R"("[::1]")",
                             R"("[::]:80")",
                             R"("[fe80::1%25eth0]:80")",
                             "null",
                             "8080",
                             "[]"});
  expectAccepted("address", {R"("10.128.0.9:8080")", R"("127.0.0.1:1")", R"("127.0.0.1:65535")",
                             R"("[::1]:8080")", R"("127.0.0.1:8080/e/i-1")"});
  cr_expect(!isAcceptedWith("address",
                            '"' + std::string("127.0.0.1:80/") + std::string(260'000, 'a') + '"'));
}

// --- Numbers ---

// Guards against casts of numbers that do not fit, which differ between processors, and against
// room and times that overflow later.
Test(ExecutorEntry, aNumberThatIsTooLargeNamesNoExecutor) {
  for (const char *Dimension : {"cpu", "mem_mb", "gpu"}) {
    for (const char *Value : {"-1", "9000000000000000000", "18446744073709551615", "-9e18", "9e18",
                              "1e300", "-1e300", "99999999999999999999999999", R"("1")", "[]"})
      cr_expect(!isAcceptedWith("capacity", std::string("{\"") + Dimension + "\":" + Value + '}'),
                "%s: %s", Dimension, Value);
    for (const char *Value : {"0", "16000", "16000.0"})
      cr_expect(isAcceptedWith("capacity", std::string("{\"") + Dimension + "\":" + Value + '}'),
                "%s: %s", Dimension, Value);
  }
  expectRejected("born", {"-1", "9e18", "1e300", "18446744073709551615", "1e999", R"("5")", "{}"});
  expectRejected("drain_remaining_ms", {"9e18", "9223372036854775807", "18446744073709551615",
                                        "1e300", "-1e300", "true"});
  expectAccepted("drain_remaining_ms", {"0", "900", "899.5", "-20"});
}

// A fraction of a core is not worth losing the executor for.
Test(ExecutorEntry, aFractionOfTheCapacityIsRoundedDown) {
  std::string Text = validEntry().dump();
  Text.back() = ',';
  const auto Executor =
      platform::decodeExecutor("i-1", Text + R"("capacity":{"cpu":5333.9,"mem_mb":1}})");
  cr_assert(Executor.has_value());
  cr_expect(Executor->Capacity_ == (core::Resources{5333, 1, 0}));
}

// --- Other fields ---

// Guards against executors that are only half described.
Test(ExecutorEntry, aFieldThatIsMissingOrOfAnotherTypeNamesNoExecutor) {
  for (const char *Field : {"service", "address", "zone", "state", "capacity"}) {
    json Entry = validEntry();
    Entry.erase(Field);
    cr_expect(!isAccepted("i-1", Entry.dump()), "%s", Field);
    expectRejected(Field, {"null", "1", "[]", "{\"cpu\":\"x\"}", "true", R"("")"});
  }
  expectRejected("state", {R"("gone")", R"("READY")"});
  expectRejected("labels", {"{}", "5", R"(["a",5])", R"([["r1-3"]])"});
  for (const char *Optional : {"labels", "born"}) {
    json Entry = validEntry();
    Entry.erase(Optional);
    cr_expect(isAccepted("i-1", Entry.dump()), "%s", Optional);
  }
  json ManyLabels = validEntry();
  ManyLabels["labels"] = json::array();
  for (int I = 0; I < 5000; ++I)
    ManyLabels["labels"].push_back("x");
  cr_expect(!isAccepted("i-1", ManyLabels.dump()));
}

// Fields that are not used may have any value.
Test(ExecutorEntry, fieldsThatAreNotUsedAreNotChecked) {
  expectAccepted("slots", {"-5", "1e300", "\"x\"", "[]"});
  expectAccepted("later_field", {"null", "[[[[]]]]"});
}

// --- Size and nesting ---

// Guards against a process that ends, or takes tens of megabytes, when it reads a deeply nested
// entry.
Test(ExecutorEntry, aLargeOrDeeplyNestedEntryNamesNoExecutor) {
  constexpr std::size_t Depth = 100'000;
  for (const auto &[Open, Close] :
       {std::pair("[", "]"), std::pair("[", ""), std::pair("{\"a\":", "}")}) {
    cr_expect(!isAccepted("i-1", nested(Depth, Open, Close)));
    cr_expect(!isAcceptedWith("capacity", nested(Depth, Open, Close)));
    cr_expect(!isAcceptedWith("later_field", nested(Depth, Open, Close)));
  }
  cr_expect(!isAcceptedWith("later_field", '"' + std::string(MaxRecordBytes - 1000, 'x') + '"'));
}
