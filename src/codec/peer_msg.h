/*
 * Conversion between the typed messages of hosts and the generated XDR
 * structs of peer.x, with the checks of a received message. Strings of a
 * converted XDR struct point into its source.
 */
#ifndef PEER_MSG_H
#define PEER_MSG_H

#include "codec/peer.h"

#include "base/err.h"
#include "model/config.h"
#include "model/heartbeat.h"

/* JSON text in one FETCH_CONFIG reply; one larger item is sent alone. */
#define PEER_MSG_PAGE_BYTES 1000000
/* RPC call header without credentials. */
#define PEER_MSG_CALL_HEADER_BYTES 40

/* xdr_void() takes no arguments, unlike the type of XDR procedures. */
#define PEER_MSG_NO_BODY ((xdrproc_t)(void (*)(void))xdr_void)

/* Heartbeat in XDR form; the arrays are part of it. */
struct peer_msg_heartbeat {
	peer_heartbeat xdr;
	peer_notice notices[HEARTBEAT_NOTICES_MAX];
	peer_rollout rollouts[HEARTBEAT_ROLLOUTS_MAX];
};

/*
 * Fills @out from @h, which must outlive it. Leaves out notices, then rollout
 * evidence, from the end until the message has at most HEARTBEAT_BYTES_MAX.
 * Returns the size of the message in bytes.
 */
uint32_t peer_msg_from_heartbeat(struct heartbeat *h, struct peer_msg_heartbeat *out);
/* ERR_OK or ERR_PEER_MESSAGE with the field and its range. */
enum err_code peer_msg_to_heartbeat(const peer_heartbeat *x, struct heartbeat *out,
				struct err *err);

/* The texts of @out point into @e. */
void peer_msg_from_rollout_reports(struct rollout_report *e, peer_rollout *out);
/* 0 when a field is missing or out of range. */
int peer_msg_to_rollout_reports(const peer_rollout *x, struct rollout_report *out);

/* Arrays of @out are allocated; free with peer_msg_config_free(). */
void peer_msg_from_delta(const struct cfg_delta *d, peer_config *out);
void peer_msg_config_free(peer_config *x);
/* NULL with ERR_PEER_MESSAGE in @err when the message is refused. */
struct cfg_delta *peer_msg_to_delta(const peer_config *x, struct err *err);

/* Decodes like xdr_peer_config() and stops above the size of a page. */
bool_t peer_msg_xdr_config(XDR *xdrs, peer_config *x);

#endif
