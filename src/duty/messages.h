/*
 * Messages between duties. The comment of each type names the struct that its
 * body points to, the sending and the receiving duty. "gateway" is the
 * gateway's request duty, "gateway control" its control duty. The receiver
 * owns the body.
 */
#ifndef MESSAGES_H
#define MESSAGES_H

#include <stdint.h>

#include "base/ring.h"
#include "duty/admin_call.h"
#include "model/request_report.h"
#include "model/exchange.h"
#include "model/forward_call.h"
#include "model/gw_view.h"
#include "model/heartbeat.h"
#include "model/target_health.h"
#include "model/request.h"
#include "model/view.h"
#include "model/kv.h"

enum message_type {
	MSG_CALLER_REQUEST, /* struct caller_request: caller to request */
	MSG_CALLER_GONE, /* struct caller_gone: caller to request */
	MSG_SUBREQUEST, /* struct subrequest_msg: request to target */
	MSG_SUBREQUEST_RESULT, /* struct subrequest_result: target to request */
	MSG_VIEW, /* struct view: control to request */
	MSG_REQUEST_REPORT, /* struct request_report: request to control */
	MSG_TARGET_NOTICE, /* struct target_notice: control to request */
	MSG_KV_REQUEST, /* struct kv_request: any duty to store */
	MSG_KV_REPLY, /* struct kv_reply: store to the asking duty */
	MSG_ADMIN_CALL, /* struct admin_call: admin to control */
	MSG_HEARTBEAT_RECEIVED, /* struct heartbeat: peer_listen to control */
	/* struct heartbeat_datagram: control to peer_send */
	MSG_HEARTBEAT_SEND,
	MSG_CONFIG_FETCH, /* struct config_fetch: control to peer_fetch */
	/* struct config_fetch_result: peer_fetch to control */
	MSG_CONFIG_FETCH_RESULT,
	MSG_CONFIG, /* struct cfg_revision: control to peer_listen */
	/*
	 * No body: main thread to control, request and ingress; a graceful
	 * shutdown begins. For ingress, the load balancer sends no more.
	 */
	MSG_LEAVE,
	MSG_GW_LEAVE, /* struct gw_leave_order: main thread to gateway */
	/* No body: main thread to ingress; the process is about to end. */
	MSG_CLOSE,
	/* No body: gateway control to ingress; limits of callers have changed. */
	MSG_CALLER_LIMITS,
	MSG_LOG_LINE, /* char: any duty to logger */
	MSG_EXCHANGE_REQUEST, /* struct exchange_request: ingress to gateway */
	/* struct exchange_caller_gone: ingress to gateway */
	MSG_EXCHANGE_CALLER_GONE,
	MSG_EXCHANGE_ANSWER, /* struct exchange_answer: gateway to ingress */
	/*
	 * MSG_EXCHANGE_REQUEST, _CALLER_GONE and _ANSWER of a forwarded request
	 * pass between gateway and relay.
	 */
	MSG_FORWARD_CALL, /* struct forward_call: gateway to relay */
	MSG_FORWARD_REPLY, /* struct forward_reply: relay to gateway */
	MSG_TARGET_CALL, /* struct target_call: gateway to egress */
	MSG_TARGET_REPLY, /* struct target_reply: egress to gateway */
	MSG_GW_VIEW, /* struct gw_view: gateway control to gateway */
	/* struct follow_request: gateway control to relay */
	MSG_FOLLOW_REQUEST,
	MSG_FOLLOW_RESULT, /* struct follow_result: relay to gateway control */
	MSG_FOLLOWER_CALL, /* struct follower_call: relay to gateway control */
	/* struct follower_reply: gateway control to relay */
	MSG_FOLLOWER_REPLY,
	MSG_GW_TUNING, /* struct gw_tuning: main thread to gateway */
	/* struct rollout_report_list: gateway to gateway control */
	MSG_ROLLOUT_REPORTS,
	/* struct target_health_list: gateway to gateway control, and back */
	MSG_TARGET_HEALTH,
	MSG_HEALTH_SEND, /* struct health_datagram: gateway control to relay */
	/* struct health_datagram: relay to gateway control */
	MSG_HEALTH_RECEIVED
};

/* The caller closed the ingress connection @conn before its answer. */
struct exchange_caller_gone {
	uint64_t conn;
};

/* A graceful shutdown begins; all requests have to end by @stop_us. */
struct gw_leave_order {
	int64_t stop_us;
};

/* Results of calls to the versions of services in a rollout. */
struct rollout_report_list {
	uint32_t count;
	struct rollout_report list[];
};

/* A caller's request and the callback that answers it. */
struct caller_request {
	struct request *request;
	/* Called once on the request thread; takes ownership of @answer. */
	void (*reply)(void *ctx, struct answer *answer);
	void *reply_ctx;
	/* Identifies this request in MSG_CALLER_GONE. */
	uint64_t exchange_id;
	/* Monotonic time at which the request was complete. */
	int64_t received_us;
};

struct caller_gone {
	uint64_t exchange_id;
};

/* A store call; its result is pushed to @reply_to as MSG_KV_REPLY. */
struct kv_request {
	struct kv_call call;
	struct ring *reply_to;
	/* Chosen by the asking duty and repeated in the reply. */
	uint64_t call_id;
};

struct kv_reply {
	uint64_t call_id;
	enum kv_op op;
	char key[KV_KEY_BYTES];
	struct kv_result result;
};

void caller_request_free(struct caller_request *c);
void kv_request_free(struct kv_request *r);
void kv_reply_free(struct kv_reply *r);

#endif
