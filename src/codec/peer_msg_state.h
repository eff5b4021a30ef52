/*
 * Conversion between struct store_update and the message of FOLLOW_STATE, and
 * between lists of target health and theirs. Steady clocks differ between hosts, so times travel as ages.
 */
#ifndef PEER_MSG_STATE_H
#define PEER_MSG_STATE_H

#include "codec/peer.h"
#include "model/store_update.h"
#include "model/target_health.h"

/*
 * Fills @out, whose texts point into @u; free with peer_msg_state_free().
 * @received_us: when the call that it answers came.
 */
void peer_msg_from_update(const struct store_update *u, int64_t received_us,
		      int64_t now_us, peer_state *out);
void peer_msg_state_free(peer_state *x);
/*
 * Takes the values out of @x; @sent_us: when the call was sent. NULL with
 * ERR_PEER_MESSAGE in @err when the message is refused.
 */
struct store_update *peer_msg_to_update(peer_state *x, int64_t sent_us,
				    int64_t now_us, struct err *err);

void peer_msg_from_health(const struct target_health_list *l, peer_target *room,
		      peer_health *out);
void peer_msg_to_health(const peer_health *x, struct target_health_list *out);

#endif
