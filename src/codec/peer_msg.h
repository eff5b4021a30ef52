/*
 * Conversion between the messages that hosts exchange, as types of model/, and
 * the XDR structs generated from peer.x. Received messages are checked. The
 * strings of an XDR struct that was filled here point into its source.
 */
#ifndef PEER_MSG_H
#define PEER_MSG_H

#include "codec/peer.h"

#include "base/err.h"
#include "model/config.h"
#include "model/heartbeat.h"

/* JSON text in one FETCH_CONFIG reply; a larger item is sent alone. */
#define PEER_MSG_PAGE_BYTES 1000000
/* Size of an RPC call header without credentials. */
#define PEER_MSG_CALL_HEADER_BYTES 40

/* For an empty body; xdr_void() is declared unlike the type xdrproc_t. */
#define PEER_MSG_NO_BODY ((xdrproc_t)(void (*)(void))xdr_void)

/* Heartbeat in XDR form, whose lists are in the two arrays. */
struct peer_msg_heartbeat {
	peer_heartbeat xdr;
	peer_notice notices[HEARTBEAT_NOTICES_MAX];
	peer_rollout rollouts[HEARTBEAT_ROLLOUTS_MAX];
};

/*
 * Fills @out from @h, which must outlive it. Drops notices, then rollout
 * reports, from the end of their lists until the message has at most
 * HEARTBEAT_BYTES_MAX bytes. Returns the size of the message in bytes, with the
 * RPC call header.
 */
uint32_t peer_msg_from_heartbeat(struct heartbeat *h,
				 struct peer_msg_heartbeat *out);
/* ERR_PEER_MESSAGE with the field when one is missing or out of range. */
enum err_code peer_msg_to_heartbeat(const peer_heartbeat *x,
				    struct heartbeat *out, struct err *err);

/* Converts one report. */
void peer_msg_from_rollout_report(struct rollout_report *r, peer_rollout *out);
/* Converts one report; returns 0 when a field is missing or out of range. */
int peer_msg_to_rollout_report(const peer_rollout *x,
			       struct rollout_report *out);

/* The arrays of @out are allocated; free with peer_msg_config_free(). */
void peer_msg_from_delta(const struct cfg_delta *d, peer_config *out);
void peer_msg_config_free(peer_config *x);
/* NULL with ERR_PEER_MESSAGE in @err when the message is refused. */
struct cfg_delta *peer_msg_to_delta(const peer_config *x, struct err *err);

/*
 * Like xdr_peer_config(), but decoding fails when the items need more memory
 * than a page or one item of the largest size.
 */
bool_t peer_msg_xdr_config(XDR *xdrs, peer_config *x);

#endif
