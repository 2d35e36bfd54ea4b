#ifndef DAEMON_MESSAGE_CONVERSION_H_
#define DAEMON_MESSAGE_CONVERSION_H_

#include <chrono>
#include <string>

#include "config/team_config.h"
#include "core/attempt_id.h"
#include "core/attempt_journal.h"
#include "core/attempt_ledger.h"
#include "core/endpoint_health.h"
#include "core/http_message.h"
#include "peer.pb.h"

namespace comfrey {

/// \brief Conversions between core types and the messages of peer.proto.
void ToProto(const AttemptId& id, rpc::AttemptId& message);
AttemptId FromProto(const rpc::AttemptId& message);

void ToProto(const DeliverableResponse& response, rpc::Answer& message);

/// \brief Whether a message holds a response that HTTP can express: a final
/// status (200 to 599) and valid headers. An empty message holds none.
bool HoldsResponse(const rpc::Answer& message);

/// \brief Returns the response in a message for delivery, or none if it must
/// not be delivered or the message holds none. Empties the message.
DeliverableResponse TakeResponse(rpc::Answer& message, RefusalMeaning meaning);

/// \brief Conversions of summaries; the ages in the message are relative to
/// `now`.
void ToProto(const EndpointSummary& summary,
             std::chrono::steady_clock::time_point now,
             rpc::EndpointSummary& message);
EndpointSummary FromProto(const rpc::EndpointSummary& message,
                          std::chrono::steady_clock::time_point now);

void ToProto(const KeyFenceReply& fence, rpc::FenceReply& message);
KeyFenceReply KeyFenceFromProto(rpc::FenceReply& message,
                                RefusalMeaning meaning);

void ToProto(const OwnerStamp& stamp, rpc::OwnerStamp& message);
OwnerStamp FromProto(const rpc::OwnerStamp& message);

/// \brief Returns the identity of a forwarded request for the ledger.
LedgerRequest LedgerRequestFromProto(const rpc::ForwardRequest& message);
LedgerRequest LedgerRequestFromProto(const rpc::FenceAttemptRequest& message);

/// \brief Conversions of the journal entries in `RecoverKeys` replies.
void ToProto(const JournalEntry& entry, rpc::JournalEntry& message);
JournalEntry TakeJournalEntry(rpc::JournalEntry& message,
                              const std::string& endpoint,
                              RefusalMeaning meaning);

/// \brief Converts the key phase of an endpoint from the configuration.
KeyPhase KeyPhaseOf(KeysState state);

/// \brief Returns the HTTP request in a ForwardRequest message.
HttpRequest RequestFromProto(const rpc::ForwardRequest& message);

/// \brief Fills the method, path, headers and body of a ForwardRequest message.
void RequestToProto(const HttpRequest& request, rpc::ForwardRequest& message);

}  // namespace comfrey

#endif  // DAEMON_MESSAGE_CONVERSION_H_
