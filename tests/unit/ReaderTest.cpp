#include "masticdrift/settings/Reader.h"

#include <array>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::ErrorKind;
using settings::Node;
using settings::Reader;
using settings::ValidationError;

namespace {

/// Fails the test unless there is exactly one error, of this kind, at this JSON pointer and with
/// \p MessagePart in its message.
void expectSingleError(const std::vector<ValidationError> &Errors, ErrorKind Kind,
                       std::string_view Pointer, std::string_view MessagePart) {
  for (const ValidationError &Error : Errors)
    cr_log_info("%s", Error.text().c_str());
  cr_assert_eq(Errors.size(), 1);
  cr_assert(Errors[0].Kind_ == Kind, "%s", Errors[0].text().c_str());
  cr_assert(Errors[0].Pointer_ == Pointer, "%s", Errors[0].text().c_str());
  cr_assert(Errors[0].Message_.find(MessagePart) != std::string::npos, "%s",
            Errors[0].text().c_str());
}

/// Reads {"tasks": 1..10, "kind": batch|gang, "name": string, "cores": number}.
std::vector<ValidationError> readJob(std::string_view Text) {
  constexpr std::array<std::string_view, 2> Kinds{"batch", "gang"};
  Reader Reader(Text);
  const Node Root = Reader.root();
  (void)Root.integer("tasks", 1, 10);
  (void)Root.choice("kind", Kinds, "batch");
  (void)Root.string("name", "");
  (void)Root.milli("cores", 0, 64'000, 1000);
  (void)Root.boolean("urgent", false);
  return Reader.finish();
}

} // namespace

// Guards against errors that are silently accepted or reported without their location.
Test(ReaderMistakes, anUnknownKeyNamesTheNearest) {
  expectSingleError(readJob(R"({"tasks":1,"corse":2})"), ErrorKind::UnknownField, "/corse",
                    "nearest is \"cores\"");
}

Test(ReaderMistakes, anUnknownKeyWithoutASimilarOneHasNoHint) {
  const auto Errors = readJob(R"({"tasks":1,"zzzzzz":2})");
  expectSingleError(Errors, ErrorKind::UnknownField, "/zzzzzz", "unknown key");
  cr_assert(Errors[0].Message_.find("nearest") == std::string::npos);
}

Test(ReaderMistakes, aWrongTypeSaysExpectedAndFound) {
  expectSingleError(readJob(R"({"tasks":"1"})"), ErrorKind::WrongType, "/tasks",
                    "expected a number, found a string");
}

Test(ReaderMistakes, aFractionIsNoWholeNumber) {
  expectSingleError(readJob(R"({"tasks":1.5})"), ErrorKind::WrongType, "/tasks", "whole number");
}

Test(ReaderMistakes, aMissingKeyIsReportedAtItsPlace) {
  expectSingleError(readJob("{}"), ErrorKind::MissingField, "/tasks", "missing");
}

Test(ReaderMistakes, anOutOfRangeNumberSaysTheRange) {
  expectSingleError(readJob(R"({"tasks":11})"), ErrorKind::OutOfRange, "/tasks",
                    "11 is outside 1..10");
  expectSingleError(readJob(R"({"tasks":18446744073709551615})"), ErrorKind::OutOfRange, "/tasks",
                    "outside 1..10");
  expectSingleError(readJob(R"({"tasks":-9223372036854775808})"), ErrorKind::OutOfRange, "/tasks",
                    "outside 1..10");
}

Test(ReaderMistakes, anUnknownChoiceNamesTheNearest) {
  expectSingleError(readJob(R"({"tasks":1,"kind":"gagn"})"), ErrorKind::OutOfRange, "/kind",
                    "nearest is \"gang\"");
}

Test(ReaderMistakes, malformedJsonHasByteAndLine) {
  expectSingleError(readJob("{\"tasks\":1,\n\"kind\" 2}"), ErrorKind::MalformedJson, "", "line 2");
  expectSingleError(readJob("{\"tasks\":1,\n\"kind\" 2}"), ErrorKind::MalformedJson, "", "byte 20");
  expectSingleError(readJob(""), ErrorKind::MalformedJson, "", "line 1");
}

// nlohmann/json keeps only the last of two duplicate keys and would ignore the other value.
Test(ReaderMistakes, aDuplicateKeyIsReported) {
  expectSingleError(readJob(R"({"tasks":1,"tasks":2})"), ErrorKind::MalformedJson, "/tasks",
                    "twice");
  Reader Nested(R"({"a":[{"x":1},{"x":1,"x":2}]})");
  expectSingleError(Nested.finish(), ErrorKind::MalformedJson, "/a/1/x", "twice");
}

// Deep nesting would overflow the stack when a document is printed or copied.
Test(ReaderMistakes, deepNestingIsRefused) {
  Reader Deep(std::string(100'000, '[') + std::string(100'000, ']'));
  const auto Errors = Deep.finish();
  cr_assert_eq(Errors.size(), 1);
  cr_assert(Errors[0].Message_.find("nested deeper") != std::string::npos);
}

Test(ReaderMistakes, aWrongRootIsReportedOnce) {
  expectSingleError(readJob("[]"), ErrorKind::WrongType, "", "expected an object, found an array");
}

Test(ReaderMistakes, pointersEscapeSlashAndTilde) {
  expectSingleError(readJob(R"({"tasks":1,"a/b~c":2})"), ErrorKind::UnknownField, "/a~1b~0c",
                    "unknown");
}

// 0.1 and 0.3 have no exact binary representation, but sums of cores must be exact.
Test(ReaderValues, decimalsAreReadExactlyInThousandths) {
  Reader Reader(R"({"a":0.1,"b":0.3,"c":15.999,"d":0.0001})");
  cr_assert_eq(Reader.root().milli("a", 0, 64'000), 100);
  cr_assert_eq(Reader.root().milli("b", 0, 64'000), 300);
  cr_assert_eq(Reader.root().milli("c", 0, 64'000), 15'999);
  (void)Reader.root().milli("d", 0, 64'000);
  expectSingleError(Reader.finish(), ErrorKind::OutOfRange, "/d", "three decimals");
}

Test(ReaderValues, nullCountsAsMissing) {
  expectSingleError(readJob(R"({"tasks":null})"), ErrorKind::MissingField, "/tasks", "missing");
}
