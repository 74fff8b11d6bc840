#include "masticdrift/settings/Reader.h"

#include <array>

#include <criterion/criterion.h>

using namespace masticdrift;
using core::ErrorKind;
using settings::Mistake;
using settings::Node;
using settings::Reader;

namespace {

/// Fails the test unless there is exactly one mistake of this kind at this position, with \p Part
/// in its message.
void expectOne(const std::vector<Mistake> &All, ErrorKind Kind, std::string_view Pointer,
               std::string_view Part) {
  for (const Mistake &Each : All)
    cr_log_info("%s", Each.text().c_str());
  cr_assert_eq(All.size(), 1);
  cr_assert(All[0].Kind_ == Kind, "%s", All[0].text().c_str());
  cr_assert(All[0].Pointer_ == Pointer, "%s", All[0].text().c_str());
  cr_assert(All[0].Message_.find(Part) != std::string::npos, "%s", All[0].text().c_str());
}

/// Reads {"tasks": 1..10, "kind": batch|gang, "name": string, "cores": number}.
std::vector<Mistake> readJob(std::string_view Text) {
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

// Guards against mistakes that are accepted in silence or reported without their place.
Test(ReaderMistakes, anUnknownKeyNamesTheNearest) {
  expectOne(readJob(R"({"tasks":1,"corse":2})"), ErrorKind::UnknownField, "/corse",
            "nearest is \"cores\"");
}

Test(ReaderMistakes, anUnknownKeyWithoutASimilarOneHasNoHint) {
  const auto All = readJob(R"({"tasks":1,"zzzzzz":2})");
  expectOne(All, ErrorKind::UnknownField, "/zzzzzz", "unknown key");
  cr_assert(All[0].Message_.find("nearest") == std::string::npos);
}

Test(ReaderMistakes, aWrongTypeSaysExpectedAndFound) {
  expectOne(readJob(R"({"tasks":"1"})"), ErrorKind::WrongType, "/tasks",
            "expected a number, found a string");
}

Test(ReaderMistakes, aFractionIsNoWholeNumber) {
  expectOne(readJob(R"({"tasks":1.5})"), ErrorKind::WrongType, "/tasks", "whole number");
}

Test(ReaderMistakes, aMissingKeyIsReportedAtItsPlace) {
  expectOne(readJob("{}"), ErrorKind::MissingField, "/tasks", "missing");
}

Test(ReaderMistakes, anOutOfRangeNumberSaysTheRange) {
  expectOne(readJob(R"({"tasks":11})"), ErrorKind::OutOfRange, "/tasks", "11 is outside 1..10");
  expectOne(readJob(R"({"tasks":18446744073709551615})"), ErrorKind::OutOfRange, "/tasks",
            "outside 1..10");
  expectOne(readJob(R"({"tasks":-9223372036854775808})"), ErrorKind::OutOfRange, "/tasks",
            "outside 1..10");
}

Test(ReaderMistakes, anUnknownChoiceNamesTheNearest) {
  expectOne(readJob(R"({"tasks":1,"kind":"gagn"})"), ErrorKind::OutOfRange, "/kind",
            "nearest is \"gang\"");
}

Test(ReaderMistakes, malformedJsonHasByteAndLine) {
  expectOne(readJob("{\"tasks\":1,\n\"kind\" 2}"), ErrorKind::MalformedJson, "", "line 2");
  expectOne(readJob("{\"tasks\":1,\n\"kind\" 2}"), ErrorKind::MalformedJson, "", "byte 20");
  expectOne(readJob(""), ErrorKind::MalformedJson, "", "line 1");
}

// nlohmann/json keeps the last of two equal keys, so one of the values would be ignored.
Test(ReaderMistakes, aDuplicateKeyIsReported) {
  expectOne(readJob(R"({"tasks":1,"tasks":2})"), ErrorKind::MalformedJson, "/tasks", "twice");
  Reader Nested(R"({"a":[{"x":1},{"x":1,"x":2}]})");
  expectOne(Nested.finish(), ErrorKind::MalformedJson, "/a/1/x", "twice");
}

// Deep nesting would exhaust the stack where documents are printed or copied.
Test(ReaderMistakes, deepNestingIsRefused) {
  Reader Deep(std::string(100'000, '[') + std::string(100'000, ']'));
  const auto All = Deep.finish();
  cr_assert_eq(All.size(), 1);
  cr_assert(All[0].Message_.find("nested deeper") != std::string::npos);
}

Test(ReaderMistakes, aWrongRootIsReportedOnce) {
  expectOne(readJob("[]"), ErrorKind::WrongType, "", "expected an object, found an array");
}

Test(ReaderMistakes, pointersEscapeSlashAndTilde) {
  expectOne(readJob(R"({"tasks":1,"a/b~c":2})"), ErrorKind::UnknownField, "/a~1b~0c", "unknown");
}

// 0.1 and 0.3 have no exact binary form; a sum of cores must still be exact.
Test(ReaderValues, decimalsAreReadExactlyInThousandths) {
  Reader Reader(R"({"a":0.1,"b":0.3,"c":15.999,"d":0.0001})");
  cr_assert_eq(Reader.root().milli("a", 0, 64'000), 100);
  cr_assert_eq(Reader.root().milli("b", 0, 64'000), 300);
  cr_assert_eq(Reader.root().milli("c", 0, 64'000), 15'999);
  (void)Reader.root().milli("d", 0, 64'000);
  expectOne(Reader.finish(), ErrorKind::OutOfRange, "/d", "three decimals");
}

Test(ReaderValues, nullCountsAsMissing) {
  expectOne(readJob(R"({"tasks":null})"), ErrorKind::MissingField, "/tasks", "missing");
}
