// Names of enumerators in metrics and logs.

#include "protocol/link.h"
#include "protocol/loan.h"

#include <array>

namespace rosemaryhinge {

namespace {

constexpr std::array<std::string_view, RejectionCount> RejectionNames = {
    "busy",    "aborted",  "lagging",     "read_only", "misrouted", "too_many", "no_statement", "failed",
    "timeout", "in_doubt", "no_database", "too_large", "malformed", "unknown",  "unauthorized"};
constexpr std::array<std::string_view, 5> FailureNames = {"refused", "timeout", "too_many", "misrouted",
                                                          "lost"};
constexpr std::array<std::string_view, LoanEndReasonCount> LoanEndNames = {"returned", "doubtful", "lost",
                                                                           "silent", "refused"};

} // namespace

std::string_view toString(Rejection code) { return RejectionNames.at(static_cast<std::size_t>(code)); }

std::string_view toString(LinkFailure why) { return FailureNames.at(static_cast<std::size_t>(why)); }

std::string_view toString(LoanEndReason why) { return LoanEndNames.at(static_cast<std::size_t>(why)); }

} // namespace rosemaryhinge
