/*
 * Conversion between struct store_update and the reply of FOLLOW_STATE, and
 * between struct target_health_list and the messages on target health. The
 * monotonic clocks of hosts differ, so messages carry ages instead of times.
 *
 * The call FOLLOW_STATE and its reply end with the era of the store, to which
 * the revisions in them belong, and the reply with whether it names all
 * deletions (struct store_update). Hosts of earlier builds neither send nor read
 * these.
 */
#ifndef PEER_MSG_STATE_H
#define PEER_MSG_STATE_H

#include "codec/peer.h"
#include "model/store_update.h"
#include "model/target_health.h"

/* A call or reply of FOLLOW_STATE with its era. */
struct peer_msg_follow {
	peer_follow_args args;
	u_quad_t era;
	/* 0 in a decoded message that ends without an era. */
	uint32_t has_era;
};

struct peer_msg_state {
	peer_state state;
	u_quad_t era;
	uint32_t has_era;
	/* 0 also in a decoded message that ends before it. */
	uint32_t has_deletions;
};

bool_t xdr_peer_msg_follow(XDR *x, struct peer_msg_follow *m);
bool_t xdr_peer_msg_state(XDR *x, struct peer_msg_state *m);

/*
 * Fills @out, whose keys and values point into @u; free its array with
 * peer_msg_state_free(). @received_us: when the call that @out answers came.
 */
void peer_msg_from_store_update(const struct store_update *u,
				int64_t received_us, int64_t now_us,
				struct peer_msg_state *out);
void peer_msg_state_free(struct peer_msg_state *x);
/*
 * Copies the entries of @m; @sent_us: when the call that @m answers was sent.
 * NULL with ERR_PEER_MESSAGE in @err when the message is refused.
 */
struct store_update *peer_msg_to_store_update(struct peer_msg_state *m,
					      int64_t sent_us, int64_t now_us,
					      struct err *err);

/* @targets: array of TARGET_HEALTH_MAX elements, to which @out points. */
void peer_msg_from_health(const struct target_health_list *l,
			  peer_target *targets, peer_health *out);
void peer_msg_to_health(const peer_health *x, struct target_health_list *out);

#endif
