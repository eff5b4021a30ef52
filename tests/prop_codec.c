/*
 * Decodes seeded random mutations of valid JSON documents and peer messages.
 * Guards against a decoder that reads past its input, and against a document
 * that is accepted but can't be encoded and decoded again.
 */
#include <apr_general.h>
#include <glib.h>
#include <string.h>

#include "base/rng.h"
#include "codec/host_list_json.h"
#include "codec/peer_msg.h"
#include "codec/cfg_json.h"
#include "platform/kv_json.h"

#define ROUNDS 20000
#define MUTATIONS_MAX 4
/* Room for one encoded peer message. */
#define MESSAGE_BYTES 4096

static const char *const documents[] = {
	"{\"customer\":\"blue\",\"indexes\":[\"concept\"],\"answer_ms\":90,"
	"\"min_coverage_permille\":950,\"rate_per_s\":500,"
	"\"target_share_permille\":400,\"extra_load_permille\":100}",
	"{\"index\":\"concept\",\"snapshot\":\"s7\",\"service\":\"c\","
	"\"targets\":[{\"id\":\"t1\",\"address\":\"127.0.0.1\","
	"\"port\":9001,\"data_centre\":\"a\",\"version\":\"v1\","
	"\"slots\":2,\"connections\":25,\"cold_slots\":1}],"
	"\"shards\":[{\"name\":\"s0\",\"targets\":[\"t1\"]}]}",
	"{\"data_centre\":\"a\",\"state\":\"out\"}",
	"{\"host\":\"h1\",\"state\":\"in\"}",
	"{\"service\":\"c\",\"from\":\"v1\",\"to\":\"v2\","
	"\"finish_by_ms\":5,\"share_permille\":10,\"state\":\"running\","
	"\"reason\":\"\",\"fence\":3}",
	"{\"rev\":2,\"recent\":[\"00000000000000ab\","
	"\"00000000000000aa\"],\"items\":{\"contract/a\":"
	"\"2-00000000000000ab\"},\"gone\":{\"dc/b\":"
	"\"1-00000000000000aa\"}}",
	"{\"name\":\"dc/a\",\"rev\":3,\"change\":\"00000000000000ab\","
	"\"who\":\"op\",\"doc\":{\"data_centre\":\"a\",\"state\":\"out\"}}",
	"{\"revision\":5,\"hosts\":[{\"id\":\"h1\",\"address\":"
	"\"127.0.0.1\",\"port\":6001,\"data_centre\":\"a\",\"role\":"
	"\"entry\",\"state\":\"live\"}]}",
	"{\"items\":[{\"key\":\"cfg/head\",\"rev\":13,"
	"\"value\":\"eA==\"}],\"hasMore\":false,\"atRev\":14}",
	"{\"key\":\"cfg/head\",\"rev\":13,\"value\":\"eA==\"}",
	"{\"rev\":13}",
};

/*
 * Each of the try_ functions decodes @text, and if that succeeds, encodes and
 * decodes the result again.
 */
static void try_contract(const char *text)
{
	struct contract *c CLEANUP_FREE = util_alloc(1, sizeof(*c));
	char *again CLEANUP_FREE = NULL;

	if (cfg_json_decode_contract(text, c, NULL) != ERR_OK)
		return;
	again = cfg_json_encode_contract(c);
	g_assert_cmpint(cfg_json_decode_contract(again, c, NULL), ==, ERR_OK);
}

static void try_layout(const char *text)
{
	struct layout *l = cfg_json_decode_layout(text, NULL);
	char *again CLEANUP_FREE = NULL;

	if (!l)
		return;
	again = cfg_json_encode_layout(l);
	layout_free(l);
	l = cfg_json_decode_layout(again, NULL);
	g_assert_nonnull(l);
	layout_free(l);
}

static void try_small(const char *text)
{
	struct dc_item d;
	struct host_item h;
	struct rollout_item r;
	char *again;

	if (cfg_json_decode_dc(text, &d, NULL) == ERR_OK) {
		again = cfg_json_encode_dc(&d);
		g_assert_cmpint(cfg_json_decode_dc(again, &d, NULL), ==,
				ERR_OK);
		free(again);
	}
	if (cfg_json_decode_host(text, &h, NULL) == ERR_OK) {
		again = cfg_json_encode_host(&h);
		g_assert_cmpint(cfg_json_decode_host(again, &h, NULL), ==,
				ERR_OK);
		free(again);
	}
	if (cfg_json_decode_rollout(text, &r, NULL) == ERR_OK) {
		again = cfg_json_encode_rollout(&r);
		g_assert_cmpint(cfg_json_decode_rollout(again, &r, NULL), ==,
				ERR_OK);
		free(again);
	}
}

static void try_head(const char *text)
{
	struct cfg_head *h = cfg_json_decode_head(text, NULL);
	char *again CLEANUP_FREE = NULL;

	if (!h)
		return;
	again = cfg_json_encode_head(h);
	cfg_head_free(h);
	h = cfg_json_decode_head(again, NULL);
	g_assert_nonnull(h);
	cfg_head_free(h);
}

static void try_item(const char *text)
{
	struct cfg_item *item = cfg_json_decode_item(text, NULL);
	char *again CLEANUP_FREE = NULL;

	if (!item)
		return;
	again = cfg_json_encode_item(item);
	cfg_item_unref(item);
	item = cfg_json_decode_item(again, NULL);
	g_assert_nonnull(item);
	cfg_item_unref(item);
}

static void try_answers(const char *text)
{
	static const enum kv_op ops[] = { KV_GET,	KV_CAS,
					  KV_WATCH,	KV_LEASE_GRANT,
					  KV_HOST_LIST, KV_DELETE };
	uint32_t i;

	for (i = 0; i < countof(ops); i++) {
		struct kv_call call = { .op = ops[i], .key = "cfg/head" };
		struct kv_result r = { 0 };

		kv_json_decode(&call, 200, text, strlen(text), &r);
		kv_result_clear(&r);
	}
}

static void try_all(const char *text)
{
	struct host_list *l = host_list_json_decode(text, NULL, NULL);

	host_list_free(l);
	try_contract(text);
	try_layout(text);
	try_small(text);
	try_head(text);
	try_item(text);
	try_answers(text);
}

/* Makes up to MUTATIONS_MAX changes: replaces a byte, or copies a range. */
static void mutate(struct rng *r, char *data, uint32_t len)
{
	static const char bytes[] = "{}[]\",:0195-ae.tnul\\ \xff";
	uint32_t n = rng_below(r, MUTATIONS_MAX + 1);

	while (n--) {
		uint32_t at = rng_below(r, len);
		uint32_t from = rng_below(r, len);

		if (rng_below(r, 2))
			data[at] = bytes[rng_below(r, sizeof(bytes) - 1)];
		else
			memmove(data + at, data + from,
				util_min_u32(len - at, len - from) / 2);
	}
}

static void test_documents(void)
{
	struct rng r = { 1 };
	uint32_t i;

	for (i = 0; i < ROUNDS; i++) {
		char *text CLEANUP_FREE = util_strdup(
			documents[rng_below(&r, countof(documents))]);

		mutate(&r, text, (uint32_t)strlen(text));
		try_all(text);
	}
}

/* Both write a valid message into @data and return its length in bytes. */
static uint32_t encode_heartbeat(char *data)
{
	struct heartbeat *h CLEANUP_FREE = util_alloc(1, sizeof(*h));
	struct peer_msg_heartbeat x;
	uint32_t bytes;
	XDR xdrs;

	util_copy_str(h->host, sizeof(h->host), "h1");
	util_copy_str(h->data_centre, sizeof(h->data_centre), "a");
	util_copy_str(h->address, sizeof(h->address), "127.0.0.1");
	h->port = 6001;
	h->notice_count = 2;
	util_copy_str(h->notices[0].target, NAME_BYTES, "t1");
	util_copy_str(h->notices[1].target, NAME_BYTES, "t2");
	h->rollout_count = 1;
	util_copy_str(h->rollouts[0].service, NAME_BYTES, "c");
	util_copy_str(h->rollouts[0].version, NAME_BYTES, "v1");
	peer_msg_from_heartbeat(h, &x);
	xdrmem_create(&xdrs, data, MESSAGE_BYTES, XDR_ENCODE);
	g_assert_true(xdr_peer_heartbeat(&xdrs, &x.xdr));
	bytes = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return bytes;
}

static uint32_t encode_config(char *data)
{
	struct cfg_item *item = cfg_item_new("dc/a", 2, 5, "op", "{}");
	struct cfg_delta d = { .rev = 2,
			       .recent_count = 2,
			       .recent_change_ids = { 5, 4 },
			       .item_count = 1,
			       .items = &item };
	peer_config x;
	uint32_t bytes;
	XDR xdrs;

	peer_msg_from_delta(&d, &x);
	xdrmem_create(&xdrs, data, MESSAGE_BYTES, XDR_ENCODE);
	g_assert_true(xdr_peer_config(&xdrs, &x));
	bytes = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	peer_msg_config_free(&x);
	cfg_item_unref(item);
	return bytes;
}

static void try_heartbeat(char *data, uint32_t bytes)
{
	struct heartbeat *h CLEANUP_FREE = util_alloc(1, sizeof(*h));
	peer_heartbeat x = { 0 };
	XDR xdrs;

	xdrmem_create(&xdrs, data, bytes, XDR_DECODE);
	if (xdr_peer_heartbeat(&xdrs, &x))
		peer_msg_to_heartbeat(&x, h, NULL);
	xdr_free((xdrproc_t)xdr_peer_heartbeat, (char *)&x);
	xdr_destroy(&xdrs);
}

static void try_config(char *data, uint32_t bytes)
{
	struct cfg_delta *d = NULL;
	peer_config x = { 0 };
	uint32_t i;
	XDR xdrs;

	xdrmem_create(&xdrs, data, bytes, XDR_DECODE);
	if (peer_msg_xdr_config(&xdrs, &x))
		d = peer_msg_to_delta(&x, NULL);
	for (i = 0; d && i < d->item_count; i++) {
		if (d->items[i]->json)
			free(cfg_json_encode_item(d->items[i]));
	}
	cfg_delta_free(d);
	xdr_free((xdrproc_t)xdr_peer_config, (char *)&x);
	xdr_destroy(&xdrs);
}

static void test_messages(void)
{
	struct rng r = { 2 };
	uint32_t i;

	for (i = 0; i < ROUNDS; i++) {
		char data[MESSAGE_BYTES];
		uint32_t bytes = i % 2 ? encode_heartbeat(data)
				       : encode_config(data);

		mutate(&r, data, bytes);
		bytes = rng_below(&r, 4) ? bytes : rng_below(&r, bytes);
		try_heartbeat(data, bytes);
		try_config(data, bytes);
	}
}

int main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/codec/documents", test_documents);
	g_test_add_func("/codec/messages", test_messages);
	return g_test_run();
}
