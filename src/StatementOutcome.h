/** \file
 * Defines how a statement of a client ends, once and at once: done, refused as not run, or left open; and how it waits for another try.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** The answer is given this much before the statement's deadline, so that it reaches the client by then. */
constexpr Duration answerMargin = std::chrono::milliseconds(20);

/** Answers a statement that no member need run. */
void answerDone(const ClientSession &session, Effects &out);
/** Answers such a statement with a failure; \p text tells the client why. */
void answerError(const ClientSession &session, ReplyCode code, std::string text, Effects &out);

/** Text of a refusal: the client should come back after \p delay. */
std::string comeBack(Duration delay, const std::string &reason);
/** A refusal tells the client to come back after this: about as long as a primary's replacement takes when all VMs reach each other. */
constexpr Duration comeBackAfter = std::chrono::milliseconds(400);

/** Forgets the transaction of \p session. */
void endTransaction(ClientSession &session);

/** Lets the statement wait for a connection, by priority of its route and then by deadline. */
void joinWaiting(ProxyState &state, ClientSession &session);
/** Takes the statement of \p session out of those that wait, if it is one. */
void leaveWaiting(ProxyState &state, const ClientSession &session);

/** Ends the statement with \p reply; the session's state has been set. */
void finish(ProxyState &state, ClientSession &session, SessionReply reply, Time now, Effects &out);
/** The statement did not run; the client is told so. Within a transaction, all of it is given up. */
void refuse(ProxyState &state, ClientSession &session, ReplyCode code, std::string text, Time now, Effects &out);
/** It is not known whether the statement ran, or it did and the client must not rely on it. */
void leaveOpen(ProxyState &state, ClientSession &session, ReplyCode code, std::string text, Time now, Effects &out);
/** Nothing of the operation has run yet that cannot run again: gives it another member than \p avoided. */
void tryAgain(ProxyState &state, ClientSession &session, const MemberId &avoided, const std::string &reason, Time now, Effects &out);

} // namespace Figward
