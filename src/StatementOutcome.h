/** \file
 * Defines the completion of a client's statement, which is answered exactly once: as done, as refused and not run, or with an unknown outcome; and its retry.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** The reply is sent this long before the statement's deadline, so that it reaches the client in time. */
constexpr Duration answerMargin = std::chrono::milliseconds(20);

/** Answers a statement that needs no member as done. */
void answerDone(const ClientSession &session, Effects &out);
/** Answers a statement that needs no member with an error; \p text is the reason for the client. */
void answerError(const ClientSession &session, ReplyCode code, std::string text, Effects &out);

/** Text of a refusal, which asks the client to retry after \p delay. */
std::string retryAfterText(Duration delay, const std::string &reason);
/** Retry delay given to clients by default: about the time that a primary's replacement takes while all VMs can reach each other. */
constexpr Duration defaultRetryDelay = std::chrono::milliseconds(400);

/** Resets the transaction state of \p session. */
void endTransaction(ClientSession &session);

/** Queues the statement of \p session for a connection; see StatementQueue.h for the order. */
void enqueueStatement(ProxyState &state, ClientSession &session);
/** Charges the organisation of \p session for a statement that runs on the connection of its transaction and so does not wait. */
void chargeTransactionStatement(ProxyState &state, const ClientSession &session);
/** Removes the statement of \p session from the queues for permits and connections, if it is in one. */
void dequeueStatement(ProxyState &state, const ClientSession &session);

/** Ends the statement with \p reply; the transaction state of the session must have been updated. */
void finishStatement(ProxyState &state, ClientSession &session, SessionReply reply, Time now, Effects &out);
/** Ends a statement that did not run; the client receives the error. An open transaction is rolled back. */
void refuseStatement(ProxyState &state, ClientSession &session, ReplyCode code, std::string text, Time now, Effects &out);
/** Ends a statement of which it is unknown whether it ran, or whose result the client must not rely on. Its connection is closed. */
void finishUnconfirmed(ProxyState &state, ClientSession &session, ReplyCode code, std::string text, Time now, Effects &out);
/** Retries an operation after a delay, but not at \p avoided unless that is the primary. No part of the operation may have run that must not run twice. */
void retryStatement(ProxyState &state, ClientSession &session, const MemberId &avoided, const std::string &reason, Time now, Effects &out);

} // namespace Figward
