#include "masticdrift/fleet/Orders.h"

namespace masticdrift::fleet {

std::string_view nameOf(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Done:
    return "done";
  case OrderOutcome::Fenced:
    return "fenced";
  case OrderOutcome::Superseded:
    return "superseded";
  case OrderOutcome::LeaseOver:
    return "lease_over";
  case OrderOutcome::NoRoom:
    return "no_room";
  case OrderOutcome::TicketInvalid:
    return "ticket_invalid";
  case OrderOutcome::OtherInstance:
    return "other_instance";
  case OrderOutcome::Unhealthy:
    return "unhealthy";
  case OrderOutcome::Malformed:
    return "malformed";
  case OrderOutcome::NoAnswer:
    return "no_answer";
  case OrderOutcome::NotSent:
    return "not_sent";
  case OrderOutcome::ResultLost:
    return "result_lost";
  }
  return "unknown";
}

std::string_view nameOf(EndKind Kind) {
  switch (Kind) {
  case EndKind::Done:
    return "done";
  case EndKind::Failed:
    return "failed";
  case EndKind::Stopped:
    return "stopped";
  case EndKind::LeaseLapsed:
    return "lease_lapsed";
  case EndKind::GangBroken:
    return "gang_broken";
  case EndKind::GangIncomplete:
    return "gang_incomplete";
  }
  return "unknown";
}

} // namespace masticdrift::fleet
