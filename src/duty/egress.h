/*
 * The egress duty: owns the gateway's connections to targets. Sends each
 * MSG_TARGET_CALL on an idle or new connection and answers it with exactly one
 * MSG_TARGET_REPLY. A MSG_TARGET_CALL that is a cancellation ends the call with
 * ERR_CANCELLED, and has no effect if the call has been answered. An answer of
 * a target counts only if it belongs to the call; bytes beyond it close the
 * connection.
 */
#ifndef EGRESS_H
#define EGRESS_H

#include "base/err.h"
#include "base/ring.h"
#include "decide/memory_account.h"

struct egress;

struct egress *egress_new(struct err *err);
/* @replies: ring that gets MSG_TARGET_REPLY. */
enum err_code egress_start(struct egress *e, struct ring *replies,
			   struct err *err);
/*
 * Counts the memory of messages in @a, which must outlive the duty; called
 * before the start. Without it only unfinished answers are bounded.
 */
void egress_set_account(struct egress *e, struct memory_account *a);
struct ring *egress_ring(struct egress *e);
void egress_stop(struct egress *e);
void egress_free(struct egress *e);

#endif
