/// \file
/// Validating JSON reader: reports every error with its JSON pointer, the expected value and the
/// most similar known name.
///
/// \code
/// settings::Reader Reader(Text);
/// const settings::Node Root = Reader.root();
/// const std::string Kind = Root.choice("kind", Kinds);
/// const std::int64_t Tasks = Root.integer("tasks", 1, 10'000, 1);
/// if (const auto Errors = Reader.finish(); !Errors.empty())
///   return Errors.front().failure();
/// \endcode
#ifndef MASTICDRIFT_SETTINGS_READER_H
#define MASTICDRIFT_SETTINGS_READER_H

#include "masticdrift/core/Error.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace masticdrift::settings {

/// One validation error of a JSON text.
struct ValidationError {
  core::ErrorKind Kind_ = core::ErrorKind::None;
  std::string Pointer_; ///< JSON pointer; empty for the whole document
  std::string Message_; ///< what was expected and what was found

  /// \returns "<pointer>: <message>".
  std::string text() const;
  /// \returns the error as a failure whose message is text().
  core::Failure failure() const { return {Kind_, text()}; }
};

namespace detail {
struct ReaderState;
} // namespace detail

/// A value of the document, or a missing value. Cheap to copy; valid while its Reader exists.
///
/// Reading a missing or invalid value returns the default (or zero) and records at most one error,
/// so that a caller can read the whole document and check the errors once at the end.
class Node {
public:
  /// \returns true when the value exists in the document and is not null.
  bool present() const { return Value_ != nullptr; }
  /// \returns the JSON pointer of this value.
  const std::string &pointer() const { return Pointer_; }
  /// Records an error at this value.
  void fail(core::ErrorKind Kind, std::string Message) const;

  /// \returns the member, which may be missing. Its name is then known to finish().
  Node optional(std::string_view Name) const;
  /// \returns the member; records MissingField when it does not exist.
  Node required(std::string_view Name) const;
  /// \returns the elements of an array; none for a missing value.
  std::vector<Node> items() const;
  /// \returns all members of an object with arbitrary keys, sorted by name.
  std::vector<std::pair<std::string, Node>> members() const;

  std::string asString(std::string_view Default = {}) const;
  std::int64_t asInteger(std::int64_t Min, std::int64_t Max, std::int64_t Default = 0) const;
  double asNumber(double Min, double Max, double Default = 0) const;
  bool asBoolean(bool Default = false) const;
  /// Reads a number with at most three decimals as an exact number of thousandths ("0.5" is 500).
  std::int64_t asMilli(std::int64_t MinMilli, std::int64_t MaxMilli,
                       std::int64_t DefaultMilli = 0) const;
  /// Reads one of \p Choices; records OutOfRange with the most similar choice otherwise.
  std::string asChoice(std::span<const std::string_view> Choices,
                       std::string_view Default = {}) const;

  // Typed access to members by name. A member without a default is required.
  std::string string(std::string_view Name) const { return required(Name).asString(); }
  std::string string(std::string_view Name, std::string_view Default) const {
    return optional(Name).asString(Default);
  }
  std::int64_t integer(std::string_view Name, std::int64_t Min, std::int64_t Max) const {
    return required(Name).asInteger(Min, Max);
  }
  std::int64_t integer(std::string_view Name, std::int64_t Min, std::int64_t Max,
                       std::int64_t Default) const {
    return optional(Name).asInteger(Min, Max, Default);
  }
  std::int64_t milli(std::string_view Name, std::int64_t MinMilli, std::int64_t MaxMilli) const {
    return required(Name).asMilli(MinMilli, MaxMilli);
  }
  std::int64_t milli(std::string_view Name, std::int64_t MinMilli, std::int64_t MaxMilli,
                     std::int64_t DefaultMilli) const {
    return optional(Name).asMilli(MinMilli, MaxMilli, DefaultMilli);
  }
  bool boolean(std::string_view Name) const { return required(Name).asBoolean(); }
  bool boolean(std::string_view Name, bool Default) const {
    return optional(Name).asBoolean(Default);
  }
  std::string choice(std::string_view Name, std::span<const std::string_view> Choices) const {
    return required(Name).asChoice(Choices);
  }
  std::string choice(std::string_view Name, std::span<const std::string_view> Choices,
                     std::string_view Default) const {
    return optional(Name).asChoice(Choices, Default);
  }

private:
  friend class Reader;
  Node(detail::ReaderState *State, const void *Value, std::string Pointer)
      : State_(State), Value_(Value), Pointer_(std::move(Pointer)) {}
  Node child(std::string_view Name) const;
  void wrongType(std::string_view Expected) const;

  detail::ReaderState *State_;
  const void *Value_; ///< the nlohmann::json value; nullptr when missing
  std::string Pointer_;
};

/// Parses one JSON document and collects the errors found while it is read.
class Reader {
public:
  /// Parses \p Text. Malformed JSON (with byte and line), duplicate keys and nesting over 64 levels
  /// are recorded as errors; the root is then missing and reading it adds no further errors.
  explicit Reader(std::string_view Text);
  Reader(const Reader &) = delete;
  Reader &operator=(const Reader &) = delete;
  ~Reader();

  /// \returns the whole document.
  Node root() const;

  /// \returns the number of errors recorded so far.
  std::size_t errorCount() const;

  /// Ends the reading and records an UnknownField error for every member that was never requested.
  ///
  /// \returns all errors in the order of their detection. Repeated calls return the same.
  std::vector<ValidationError> finish();

private:
  std::unique_ptr<detail::ReaderState> State_;
};

/// \returns the element of \p KnownNames with the smallest edit distance to \p Name, or an empty
/// view when no distance is within a third of the longer name (at least 2). Cost: the product of
/// the lengths for each element.
std::string_view nearestName(std::string_view Name, std::span<const std::string_view> KnownNames);

} // namespace masticdrift::settings

#endif // MASTICDRIFT_SETTINGS_READER_H
