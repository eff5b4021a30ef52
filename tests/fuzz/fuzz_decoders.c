/*
 * Fuzzing target for each decoder of bytes that other writers control: entries
 * of the store, answers of the store and of targets, requests of callers and
 * messages of hosts. The environment variable DECODER names the decoder. Guards
 * against a decoder that reads past its input, overflows a number, uses up the
 * stack or ends the process; and against a head that is read again as another
 * one than was written.
 */
#include <rpc/rpc.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "codec/gw_host_json.h"
#include "codec/gw_rollout_json.h"
#include "codec/http1.h"
#include "codec/http1_head.h"
#include "codec/peer_msg_state.h"
#include "codec/peer_rpc.h"
#include "platform/kv_json.h"
#include "platform/platform_docs.h"
#include "platform/platform_http.h"

int LLVMFuzzerInitialize(int *argc, char ***argv);
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes);

static void fuzz_target(const char *data, uint32_t bytes)
{
	struct target_entry out;
	struct err err = { 0 };

	platform_target_decode("t1", data, bytes, &out, &err);
}

static void fuzz_host(const char *data, uint32_t bytes)
{
	struct host_entry out = { 0 };
	struct err err = { 0 };

	gw_host_json_decode(data, bytes, &out, &err);
}

static void fuzz_config(const char *data, uint32_t bytes)
{
	struct err err = { 0 };

	route_config_unref(platform_config_decode(data, bytes, &err));
}

static void fuzz_rollout(const char *data, uint32_t bytes)
{
	struct gw_rollout_order order;
	struct gw_rollout_status status;
	struct gw_rollout rollout;
	struct err err = { 0 };

	platform_rollout_order_decode("s1", data, bytes, &order, &err);
	platform_rollout_status_decode("s1", data, bytes, &status, &err);
	gw_rollout_json_decode("s1", data, bytes, &rollout, &err);
}

static void fuzz_store(const char *data, uint32_t bytes)
{
	static const enum kv_op ops[] = { KV_GET, KV_CAS, KV_WATCH,
					  KV_LEASE_GRANT };
	uint32_t i;

	for (i = 0; i < countof(ops); i++) {
		struct kv_call call = { .op = ops[i], .key = "servers/" };
		struct kv_result r = { 0 };

		kv_json_decode(&call, 200, data, bytes, &r);
		kv_result_clear(&r);
	}
}

/* Gives the bytes to a reader in pieces of up to 64. */
static void read_message(struct http1_reader *h, const char *data,
			 uint32_t bytes)
{
	uint32_t used = 0;

	while (used < bytes && h->state != HTTP1_BAD &&
	       h->state != HTTP1_COMPLETE) {
		uint32_t piece = util_min_u32(bytes - used, 64);

		used += (uint32_t)http1_parse(h, data + used, piece);
	}
	if (h->state != HTTP1_COMPLETE)
		http1_eof(h);
}

static void fuzz_answer(const char *data, uint32_t bytes)
{
	struct http1_limits limits = { 1024, 1024 };
	struct target_reply *reply = util_alloc(1, sizeof(*reply));
	struct http1_reader h;

	http1_init(&h, HTTP1_RESPONSE, &limits);
	read_message(&h, data, bytes);
	if (h.state == HTTP1_COMPLETE) {
		platform_reply_idle_ms(&h);
		platform_reply_decode(&h, reply);
	}
	http1_clear(&h);
	target_reply_free(reply);
}

/*
 * 1 if the name goes on behind "Transfer-Encoding": libhttp_parser takes it for
 * that field, and refuses a message that states a length, too.
 */
static int is_misread(const char *name)
{
	static const char begin[] = "Transfer-Encoding";

	return strncasecmp(name, begin, sizeof(begin) - 1) == 0 &&
	       name[sizeof(begin) - 1];
}

static int has_misread(const struct http1_reader *h)
{
	uint32_t i;

	for (i = 0; i < h->field_count; i++) {
		if (is_misread(http1_field_name(h, i)))
			return 1;
	}
	return 0;
}

/* Ends the process, which the fuzzer reports with the input. */
static void expect(int ok)
{
	if (!ok)
		abort();
}

/*
 * Reads a request with the limits @limits and appends the call to a target for
 * it to @call. Returns 0 if it is refused, else the bytes of the request.
 */
static uint32_t encode_call(const char *data, uint32_t bytes,
			    const struct http1_limits *limits, struct buf *call)
{
	struct exchange_request *request = util_alloc(1, sizeof(*request));
	struct target_call c = { .target_id = "t1", .timeout_ms = 7 };
	struct http1_reader h;
	struct err err = { 0 };
	uint32_t used = 0;

	http1_init(&h, HTTP1_REQUEST, limits);
	read_message(&h, data, bytes);
	if (h.state == HTTP1_COMPLETE && !has_misread(&h) &&
	    platform_request_decode(&h, request, &err) == ERR_OK) {
		c.message = request->message;
		expect(platform_call_encode(&c, call) == ERR_OK);
		used = (uint32_t)h.message_bytes;
	}
	http1_clear(&h);
	exchange_request_free(request);
	return used;
}

/* A call, read as a target reads it, is the whole request and the same one. */
static void fuzz_request(const char *data, uint32_t bytes)
{
	struct http1_limits limits = { 1024, 1024 };
	struct http1_limits wider = { 4096, 1024 };
	struct buf first CLEANUP_BUF = { 0 };
	struct buf again CLEANUP_BUF = { 0 };

	if (!encode_call(data, bytes, &limits, &first))
		return;
	expect(encode_call(first.data, (uint32_t)first.len_bytes, &wider,
			   &again) == first.len_bytes);
	expect(again.data && again.len_bytes == first.len_bytes &&
	       memcmp(again.data, first.data, first.len_bytes) == 0);
}

/* The name of a field, a NUL and its value: what is written is read again. */
static void fuzz_head(const char *data, uint32_t bytes)
{
	struct http1_limits limits = { 65536, 0 };
	char *name CLEANUP_FREE = util_alloc((size_t)bytes + 2, 1);
	struct buf head CLEANUP_BUF = { 0 };
	struct http1_reader h;
	const char *value;

	memcpy(name, data, bytes);
	value = name + strlen(name) + 1;
	buf_addf(&head, "GET / HTTP/1.1\r\n");
	/* The reader interprets some fields that concern the connection. */
	if (http1_is_hop_by_hop(name) || is_misread(name) ||
	    http1_add_field(&head, name, value) != ERR_OK)
		return;
	buf_addf(&head, "\r\n");
	http1_init(&h, HTTP1_REQUEST, &limits);
	expect(http1_parse(&h, head.data, head.len_bytes) == head.len_bytes);
	expect(h.state == HTTP1_COMPLETE && h.field_count == 1);
	expect(strcmp(http1_field_name(&h, 0), name) == 0);
	expect(strcmp(http1_field_value(&h, 0), value) == 0);
	http1_clear(&h);
}

static void fuzz_peer(const char *data, uint32_t bytes)
{
	char *copy CLEANUP_FREE = util_alloc((size_t)bytes + 1, 1);
	struct target_health_list list = { 0 };
	peer_health health = { 0 };
	struct peer_msg_state state = { 0 };
	struct err err = { 0 };
	uint32_t xid;
	XDR xdrs;

	memcpy(copy, data, bytes);
	if (peer_rpc_read_reply(copy, bytes, &xid,
				(xdrproc_t)xdr_peer_msg_state, &state))
		store_update_free(peer_msg_to_store_update(&state, 0, 1, &err));
	xdr_free((xdrproc_t)xdr_peer_msg_state, (char *)&state);
	xdrmem_create(&xdrs, copy, bytes, XDR_DECODE);
	if (xdr_peer_health(&xdrs, &health))
		peer_msg_to_health(&health, &list);
	xdr_free((xdrproc_t)xdr_peer_health, (char *)&health);
	xdr_destroy(&xdrs);
}

static const struct {
	const char *name;
	void (*fn)(const char *data, uint32_t bytes);
} decoders[] = {
	{ "target", fuzz_target },   { "host", fuzz_host },
	{ "config", fuzz_config },   { "rollout", fuzz_rollout },
	{ "store", fuzz_store },     { "answer", fuzz_answer },
	{ "request", fuzz_request }, { "peer", fuzz_peer },
	{ "head", fuzz_head },
};

/* Position in decoders. */
static uint32_t decoder;

int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	const char *name = getenv("DECODER");

	while (decoder < countof(decoders) &&
	       (!name || strcmp(decoders[decoder].name, name) != 0))
		decoder++;
	if (decoder == countof(decoders)) {
		fprintf(stderr, "DECODER names no decoder\n");
		exit(2);
	}
	return 0;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
	decoders[decoder].fn((const char *)data, (uint32_t)size_bytes);
	return 0;
}
