#include "placing/enginetypes.h"

namespace burdock {

const char *orderResultName(OrderResult result)
{
    switch (result) {
    case OrderResult::Accepted:
        return "accepted";
    case OrderResult::AlreadyDone:
        return "already_so";
    case OrderResult::Conflict:
        return "conflict";
    case OrderResult::Fenced:
        return "fenced";
    case OrderResult::Invalid:
        return "invalid";
    case OrderResult::OtherReplica:
        return "other_replica";
    case OrderResult::Unanswered:
        return "unanswered";
    }
    return "unknown";
}

} // namespace burdock
