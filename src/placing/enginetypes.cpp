#include "placing/enginetypes.h"

namespace burdock {

const char *orderAnswerName(OrderAnswer answer)
{
    switch (answer) {
    case OrderAnswer::Accepted:
        return "accepted";
    case OrderAnswer::AlreadySo:
        return "already_so";
    case OrderAnswer::Conflict:
        return "conflict";
    case OrderAnswer::Fenced:
        return "fenced";
    case OrderAnswer::Invalid:
        return "invalid";
    case OrderAnswer::OtherReplica:
        return "other_replica";
    case OrderAnswer::Unanswered:
        return "unanswered";
    }
    return "unknown";
}

} // namespace burdock
