#include "masticdrift/settings/Reader.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <set>

#include <nlohmann/json.hpp>

namespace masticdrift::settings {

using core::ErrorKind;
using nlohmann::json;

namespace detail {

struct ReaderState {
  json Document_;
  bool Parsed_ = false;
  bool Finished_ = false;
  std::vector<ValidationError> Errors_;
  /// Objects that were read, with their JSON pointer and the requested member names.
  std::map<const json *, std::pair<std::string, std::set<std::string, std::less<>>>> KnownMembers_;
};

} // namespace detail

namespace {

/// Deeper documents are rejected, because copying and printing a document is recursive.
constexpr int MaxDepth = 64;

/// Escapes a member name for use as a token of a JSON pointer (RFC 6901).
std::string escapeJsonPointerToken(std::string_view Token) {
  std::string Result;
  for (const char C : Token) {
    if (C == '~')
      Result += "~0";
    else if (C == '/')
      Result += "~1";
    else
      Result += C;
  }
  return Result;
}

std::string_view typeName(const json &Value) {
  switch (Value.type()) {
  case json::value_t::null:
    return "null";
  case json::value_t::object:
    return "an object";
  case json::value_t::array:
    return "an array";
  case json::value_t::string:
    return "a string";
  case json::value_t::boolean:
    return "a boolean";
  default:
    return "a number";
  }
}

/// \returns the Levenshtein distance. Cost: the product of the lengths.
std::size_t editDistance(std::string_view A, std::string_view B) {
  std::vector<std::size_t> Row(B.size() + 1);
  std::iota(Row.begin(), Row.end(), 0);
  for (std::size_t I = 0; I < A.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I + 1;
    for (std::size_t J = 0; J < B.size(); ++J) {
      const std::size_t Replace = Diagonal + (A[I] == B[J] ? 0 : 1);
      Diagonal = Row[J + 1];
      Row[J + 1] = std::min({Replace, Row[J] + 1, Row[J + 1] + 1});
    }
  }
  return Row.back();
}

/// Quotes text for a message: truncated, with control characters and invalid UTF-8 escaped.
std::string quote(std::string_view Text) {
  // Long names would make error responses as large as the request.
  constexpr std::size_t MaxQuotedBytes = 80;
  const bool Short = Text.size() <= MaxQuotedBytes;
  return json(std::string(Text.substr(0, MaxQuotedBytes)) + (Short ? "" : "..."))
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string nearestNameHint(std::string_view Name, std::span<const std::string_view> KnownNames) {
  const std::string_view Nearest = nearestName(Name, KnownNames);
  return Nearest.empty() ? "" : ", nearest is " + quote(Nearest);
}

std::string milliText(std::int64_t Milli) {
  json Value = static_cast<double>(Milli) / 1000;
  if (Milli % 1000 == 0)
    Value = Milli / 1000;
  return Value.dump();
}

/// Parser callback that detects duplicate keys and excessive nesting.
class StructureChecker {
public:
  explicit StructureChecker(std::vector<ValidationError> &Errors) : Errors_(Errors) {}

  bool operator()(int Depth, json::parse_event_t Event, json &Parsed) {
    using EventType = json::parse_event_t;
    if (TooDeep_) // the parser sends no end events for discarded values
      return false;
    if (Event == EventType::object_start || Event == EventType::array_start) {
      if (Depth >= MaxDepth) {
        Errors_.push_back({ErrorKind::MalformedJson, pointer(),
                           "nested deeper than " + std::to_string(MaxDepth) + " levels"});
        TooDeep_ = true;
        return false;
      }
      Levels_.push_back({Event == EventType::array_start, 0, {}, {}});
    } else if (Event == EventType::object_end || Event == EventType::array_end) {
      if (!Levels_.empty())
        Levels_.pop_back();
      elementDone();
    } else if (Event == EventType::value) {
      elementDone();
    } else if (Event == EventType::key && !Levels_.empty()) {
      Level &Top = Levels_.back();
      Top.Key_ = Parsed.get<std::string>();
      if (!Top.Keys_.insert(Top.Key_).second)
        Errors_.push_back({ErrorKind::MalformedJson, pointer(), "key appears twice"});
    }
    return true;
  }

private:
  struct Level {
    bool Array_;
    std::size_t Index_;
    std::string Key_;
    std::set<std::string> Keys_;
  };

  void elementDone() {
    if (!Levels_.empty() && Levels_.back().Array_)
      ++Levels_.back().Index_;
  }

  std::string pointer() const {
    std::string Result;
    for (const Level &Nested : Levels_)
      Result += "/" + (Nested.Array_ ? std::to_string(Nested.Index_)
                                     : escapeJsonPointerToken(Nested.Key_));
    return Result;
  }

  std::vector<ValidationError> &Errors_;
  std::vector<Level> Levels_;
  bool TooDeep_ = false;
};

const json &jsonValue(const void *Value) { return *static_cast<const json *>(Value); }

} // namespace

std::string ValidationError::text() const {
  return Pointer_.empty() ? Message_ : Pointer_ + ": " + Message_;
}

std::string_view nearestName(std::string_view Name, std::span<const std::string_view> KnownNames) {
  // Longer texts are no misspelled names, and comparing them would be slow.
  constexpr std::size_t MaxNameLength = 200;
  std::string_view Best;
  std::size_t BestDistance = MaxNameLength;
  if (Name.size() > MaxNameLength)
    return Best;
  for (const std::string_view Candidate : KnownNames) {
    const std::size_t MaxDistance =
        std::max<std::size_t>(2, std::max(Name.size(), Candidate.size()) / 3);
    const std::size_t Distance = editDistance(Name, Candidate);
    // At a distance of the full length, the names have no character in common.
    if (Distance <= MaxDistance && Distance < std::max(Name.size(), Candidate.size()) &&
        Distance < BestDistance) {
      Best = Candidate;
      BestDistance = Distance;
    }
  }
  return Best;
}

void Node::fail(ErrorKind Kind, std::string Message) const {
  State_->Errors_.push_back({Kind, Pointer_, std::move(Message)});
}

void Node::wrongType(std::string_view Expected) const {
  fail(ErrorKind::WrongType,
       "expected " + std::string(Expected) + ", found " + std::string(typeName(jsonValue(Value_))));
}

Node Node::child(std::string_view Name) const {
  std::string Pointer = Pointer_ + "/" + escapeJsonPointerToken(Name);
  if (Value_ == nullptr)
    return {State_, nullptr, std::move(Pointer)};
  const json &Value = jsonValue(Value_);
  const auto [KnownMembers, FirstRead] =
      State_->KnownMembers_.try_emplace(&Value, Pointer_, std::set<std::string, std::less<>>());
  if (!Value.is_object()) {
    if (FirstRead)
      wrongType("an object");
    return {State_, nullptr, std::move(Pointer)};
  }
  KnownMembers->second.second.emplace(Name);
  const auto Found = Value.find(Name);
  const bool Missing = Found == Value.end() || Found->is_null();
  return {State_, Missing ? nullptr : &*Found, std::move(Pointer)};
}

Node Node::optional(std::string_view Name) const { return child(Name); }

Node Node::required(std::string_view Name) const {
  Node Child = child(Name);
  if (!Child.present() && present() && jsonValue(Value_).is_object())
    Child.fail(ErrorKind::MissingField, "required field is missing");
  return Child;
}

std::vector<Node> Node::items() const {
  std::vector<Node> Items;
  if (Value_ == nullptr)
    return Items;
  const json &Value = jsonValue(Value_);
  if (!Value.is_array()) {
    wrongType("an array");
    return Items;
  }
  Items.reserve(Value.size());
  for (std::size_t I = 0; I < Value.size(); ++I)
    Items.push_back(Node(State_, &Value[I], Pointer_ + "/" + std::to_string(I)));
  return Items;
}

std::vector<std::pair<std::string, Node>> Node::members() const {
  std::vector<std::pair<std::string, Node>> Members;
  if (Value_ == nullptr)
    return Members;
  const json &Value = jsonValue(Value_);
  if (!Value.is_object()) {
    wrongType("an object");
    return Members;
  }
  for (const auto &[Name, Member] : Value.items())
    Members.emplace_back(Name,
                         Node(State_, &Member, Pointer_ + "/" + escapeJsonPointerToken(Name)));
  return Members;
}

std::string Node::asString(std::string_view Default) const {
  if (Value_ == nullptr)
    return std::string(Default);
  const json &Value = jsonValue(Value_);
  if (Value.is_string())
    return Value.get<std::string>();
  wrongType("a string");
  return std::string(Default);
}

std::int64_t Node::asInteger(std::int64_t Min, std::int64_t Max, std::int64_t Default) const {
  if (Value_ == nullptr)
    return Default;
  const json &Value = jsonValue(Value_);
  if (!Value.is_number_integer()) {
    wrongType(Value.is_number() ? "a whole number" : "a number");
    return Default;
  }
  // Unsigned values of 2^63 and above would become negative.
  const bool TooLarge =
      Value.is_number_unsigned() && Value.get<std::uint64_t>() > static_cast<std::uint64_t>(Max);
  const std::int64_t Number = TooLarge && Max >= 0 ? Max : Value.get<std::int64_t>();
  if ((TooLarge && Max >= 0) || Number < Min || Number > Max) {
    fail(ErrorKind::OutOfRange,
         Value.dump() + " is outside " + std::to_string(Min) + ".." + std::to_string(Max));
    return Default;
  }
  return Number;
}

double Node::asNumber(double Min, double Max, double Default) const {
  if (Value_ == nullptr)
    return Default;
  const json &Value = jsonValue(Value_);
  if (!Value.is_number()) {
    wrongType("a number");
    return Default;
  }
  const auto Number = Value.get<double>();
  if (Number >= Min && Number <= Max)
    return Number;
  fail(ErrorKind::OutOfRange,
       Value.dump() + " is outside " + json(Min).dump() + ".." + json(Max).dump());
  return Default;
}

std::int64_t Node::asMilli(std::int64_t MinMilli, std::int64_t MaxMilli,
                           std::int64_t DefaultMilli) const {
  if (Value_ == nullptr)
    return DefaultMilli;
  const json &Value = jsonValue(Value_);
  if (!Value.is_number()) {
    wrongType("a number");
    return DefaultMilli;
  }
  const double Thousandths = Value.get<double>() * 1000;
  if (!(Thousandths >= static_cast<double>(MinMilli) &&
        Thousandths <= static_cast<double>(MaxMilli))) {
    fail(ErrorKind::OutOfRange,
         Value.dump() + " is outside " + milliText(MinMilli) + ".." + milliText(MaxMilli));
    return DefaultMilli;
  }
  const auto Rounded = static_cast<std::int64_t>(std::llround(Thousandths));
  // In binary, 0.1 * 1000 may differ slightly from 100; a real fourth decimal differs by 0.1 or
  // more.
  if (std::abs(Thousandths - static_cast<double>(Rounded)) > 0.01) {
    fail(ErrorKind::OutOfRange, Value.dump() + " has more than three decimals");
    return DefaultMilli;
  }
  return Rounded;
}

bool Node::asBoolean(bool Default) const {
  if (Value_ == nullptr)
    return Default;
  const json &Value = jsonValue(Value_);
  if (Value.is_boolean())
    return Value.get<bool>();
  wrongType("true or false");
  return Default;
}

std::string Node::asChoice(std::span<const std::string_view> Choices,
                           std::string_view Default) const {
  if (Value_ == nullptr)
    return std::string(Default);
  const std::size_t ErrorCountBefore = State_->Errors_.size();
  std::string Chosen = asString();
  if (State_->Errors_.size() != ErrorCountBefore)
    return std::string(Default);
  if (std::ranges::find(Choices, Chosen) != Choices.end())
    return Chosen;
  std::string Expected;
  for (const std::string_view Choice : Choices)
    Expected += (Expected.empty() ? "" : ", ") + quote(Choice);
  fail(ErrorKind::OutOfRange,
       quote(Chosen) + " is not one of " + Expected + nearestNameHint(Chosen, Choices));
  return std::string(Default);
}

Reader::Reader(std::string_view Text) : State_(std::make_unique<detail::ReaderState>()) {
  std::vector<ValidationError> StructureErrors;
  try {
    State_->Document_ = json::parse(Text, StructureChecker(StructureErrors));
    State_->Parsed_ = StructureErrors.empty();
    State_->Errors_ = std::move(StructureErrors);
  } catch (const json::parse_error &Error) {
    const std::size_t Byte = std::min<std::size_t>(Error.byte, Text.size());
    const auto Line = 1 + std::count(Text.begin(), Text.begin() + static_cast<long>(Byte), '\n');
    // The message of nlohmann/json begins with its exception id in brackets.
    std::string_view Message = Error.what();
    const std::size_t Start = Message.find("] ");
    if (Start != std::string_view::npos)
      Message.remove_prefix(Start + 2);
    State_->Errors_ = {{ErrorKind::MalformedJson, "",
                        "byte " + std::to_string(Byte) + ", line " + std::to_string(Line) + ": " +
                            std::string(Message)}};
  } catch (const json::exception &Error) {
    State_->Errors_ = {{ErrorKind::MalformedJson, "", Error.what()}};
  }
}

Reader::~Reader() = default;

Node Reader::root() const {
  return {State_.get(), State_->Parsed_ ? &State_->Document_ : nullptr, ""};
}

std::size_t Reader::errorCount() const { return State_->Errors_.size(); }

std::vector<ValidationError> Reader::finish() {
  if (State_->Finished_)
    return State_->Errors_;
  State_->Finished_ = true;
  // Objects are visited in the order of their JSON pointers, so that the result is deterministic.
  std::map<std::string, std::pair<const json *, const std::set<std::string, std::less<>> *>>
      ByPointer;
  for (const auto &[Value, KnownMembers] : State_->KnownMembers_)
    ByPointer[KnownMembers.first] = {Value, &KnownMembers.second};
  for (const auto &[Pointer, Object] : ByPointer) {
    const auto &[Value, KnownMembers] = Object;
    if (!Value->is_object())
      continue;
    const std::vector<std::string_view> Names(KnownMembers->begin(), KnownMembers->end());
    for (const auto &[Name, Member] : Value->items())
      if (!KnownMembers->contains(Name))
        State_->Errors_.push_back({ErrorKind::UnknownField,
                                   Pointer + "/" + escapeJsonPointerToken(Name),
                                   "unknown key" + nearestNameHint(Name, Names)});
  }
  return State_->Errors_;
}

} // namespace masticdrift::settings
