/*
 * Conversion between struct store_update and the reply of FOLLOW_STATE, and
 * between struct target_health_list and the messages on target health. The
 * monotonic clocks of hosts differ, so messages carry ages instead of times.
 */
#ifndef PEER_MSG_STATE_H
#define PEER_MSG_STATE_H

#include "codec/peer.h"
#include "model/store_update.h"
#include "model/target_health.h"

/*
 * Fills @out, whose keys and values point into @u; free its array with
 * peer_msg_state_free(). @received_us: when the call that @out answers came.
 */
void peer_msg_from_store_update(const struct store_update *u,
				int64_t received_us, int64_t now_us,
				peer_state *out);
void peer_msg_state_free(peer_state *x);
/*
 * Copies the entries of @x; @sent_us: when the call that @x answers was sent.
 * NULL with ERR_PEER_MESSAGE in @err when the message is refused.
 */
struct store_update *peer_msg_to_store_update(peer_state *x, int64_t sent_us,
					      int64_t now_us, struct err *err);

/* @targets: array of TARGET_HEALTH_MAX elements, to which @out points. */
void peer_msg_from_health(const struct target_health_list *l,
			  peer_target *targets, peer_health *out);
void peer_msg_to_health(const peer_health *x, struct target_health_list *out);

#endif
