/*
 * The store duty against a server with prepared answers. Guards against lost
 * answers that are taken for failures, writes that are sent twice, waits on
 * silent connections, watches that miss changes, and wrong codes for answers
 * that are not valid.
 */
#include <apr_general.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "base/log.h"
#include "duty/messages.h"
#include "duty/store.h"
#include "fake_http.h"

#define STORE_CALL_TIMEOUT_MS 4000
/* Longest wait for an answer; after that the test fails. */
#define ANSWER_US (30 * (int64_t)US_PER_S)

struct fixture {
	struct fake_http *server;
	struct store *store;
	struct ring *replies;
	/* Protects the fields below, which the server's thread writes. */
	pthread_mutex_t lock;
	/* Request lines that the server received. */
	GString *seen;
	/* Number of writes that the server received. */
	uint32_t writes;
};

static void fixture_new(struct fixture *f, fake_http_fn *fn)
{
	struct store_options options = { .address = "127.0.0.1",
					 .reads_per_s = 10000,
					 .writes_per_s = 10000,
					 .rng_seed = 1 };
	struct err err = { 0 };

	memset(f, 0, sizeof(*f));
	pthread_mutex_init(&f->lock, NULL);
	f->seen = g_string_new("");
	f->server = fake_http_new(fn, f);
	options.port = fake_http_port(f->server);
	f->replies = ring_new(64, NULL, NULL, &err);
	f->store = store_new(&options, &err);
	g_assert_nonnull(f->store);
}

static void fixture_run(struct fixture *f)
{
	struct err err = { 0 };

	g_assert_cmpint(store_start(f->store, &err), ==, ERR_OK);
}

static void fixture_start(struct fixture *f, fake_http_fn *fn)
{
	fixture_new(f, fn);
	fixture_run(f);
}

static void fixture_stop(struct fixture *f)
{
	store_stop(f->store);
	store_join(f->store);
	store_free(f->store);
	ring_free(f->replies);
	fake_http_free(f->server);
	g_string_free(f->seen, TRUE);
	pthread_mutex_destroy(&f->lock);
}

static void submit(struct fixture *f, struct kv_call call)
{
	struct kv_request *r = util_alloc(1, sizeof(*r));
	struct msg m = { MSG_KV_REQUEST, r, NULL };

	r->call = call;
	if (!r->call.timeout_ms)
		r->call.timeout_ms = STORE_CALL_TIMEOUT_MS;
	r->reply_to = f->replies;
	r->call_id = 42;
	g_assert_cmpint(ring_push(store_ring(f->store), &m), ==, ERR_OK);
}

static struct kv_reply *await(struct fixture *f)
{
	struct msg m;
	struct kv_reply *reply;

	g_assert_cmpuint(ring_wait(f->replies, &m, 1, ANSWER_US), ==, 1);
	g_assert_cmpuint(m.type, ==, MSG_KV_REPLY);
	reply = m.body;
	g_assert_cmpuint(reply->call_id, ==, 42);
	return reply;
}

/* Makes one call and returns the code of its result. */
static enum err_code call_code(struct fixture *f, struct kv_call call)
{
	struct kv_reply *r;
	enum err_code code;

	submit(f, call);
	r = await(f);
	code = r->result.err.code;
	kv_reply_free(r);
	return code;
}

static struct kv_call get_call(const char *key)
{
	struct kv_call call = { .op = KV_GET };

	util_copy_str(call.key, sizeof(call.key), key);
	return call;
}

static struct kv_call cas_call(const char *key, const char *value)
{
	struct kv_call call = { .op = KV_CAS };

	util_copy_str(call.key, sizeof(call.key), key);
	call.value = util_strdup(value);
	call.value_bytes = (uint32_t)strlen(value);
	return call;
}

static uint32_t count_writes(struct fixture *f)
{
	uint32_t n;

	pthread_mutex_lock(&f->lock);
	n = f->writes;
	pthread_mutex_unlock(&f->lock);
	return n;
}

static void record_request(struct fixture *f, const struct fake_request *r)
{
	pthread_mutex_lock(&f->lock);
	g_string_append_printf(f->seen, "%s\n", r->line);
	if (strstr(r->line, "/api/kv-txn"))
		f->writes++;
	pthread_mutex_unlock(&f->lock);
}

/* Answer to a read of key k: revision 3, value "v". */
#define ITEM_K "{\"key\":\"k\",\"rev\":3,\"value\":\"dg==\"}"

/*
 * Start of the key of a read, or of the condition of a write; "" without one.
 */
static const char *request_key(const struct fake_request *r)
{
	const char *at = strstr(r->line, "key=");

	if (at)
		return at + strlen("key=");
	at = r->body ? strstr(r->body, "\"key\":\"") : NULL;
	return at ? at + strlen("\"key\":\"") : "";
}

/* Chooses the answer by the key: status NNN for "sNNN", or a prepared body. */
static enum fake_action answer_by_key(void *ctx, const struct fake_request *r,
				      uint32_t *status, struct buf *out)
{
	const char *key = request_key(r);

	record_request(ctx, r);
	if (key[0] == 's') {
		*status = (uint32_t)atoi(key + 1);
		buf_addf(out, "{\"items\":[{\"key\":\"s412\",\"rev\":7}]}");
	} else if (g_str_has_prefix(key, "broken")) {
		buf_addf(out, "{\"rev\":");
	} else if (g_str_has_prefix(key, "other")) {
		buf_addf(out, "{\"key\":\"b\",\"rev\":1,\"value\":\"eA==\"}");
	} else if (g_str_has_prefix(key, "large")) {
		/* Base64 text of a value with more bytes than are accepted. */
		g_autofree char *fill = g_strnfill(1500000, 'x');

		buf_addf(out, "{\"key\":\"large\",\"rev\":1,\"value\":");
		buf_addf(out, "\"%s\"}", fill);
	} else if (g_str_has_prefix(r->line, "GET")) {
		buf_addf(out, ITEM_K);
	} else {
		buf_addf(out, "{\"rev\":13,\"lease\":3,\"ttlMs\":5000}");
	}
	return FAKE_REPLY;
}

/* Guards against a status or body that is mapped to the wrong code. */
static void test_codes(void)
{
	struct fixture f;
	struct kv_call call;
	struct kv_reply *r;
	uint32_t writes;
	g_autofree char *quotes = g_strnfill(600000, '"');
	g_autofree char *value = g_strnfill(1048577, 'x');

	fixture_start(&f, answer_by_key);
	submit(&f, get_call("k"));
	r = await(&f);
	g_assert_cmpint(r->result.err.code, ==, ERR_OK);
	g_assert_cmpuint(r->result.rev, ==, 3);
	g_assert_cmpstr(r->result.pairs[0].value, ==, "v");
	kv_reply_free(r);
	g_assert_cmpint(call_code(&f, cas_call("k", "{}")), ==, ERR_OK);
	g_assert_cmpint(call_code(&f, get_call("s404")), ==,
			ERR_STORE_NOT_FOUND);
	submit(&f, cas_call("s412", "{}"));
	r = await(&f);
	g_assert_cmpint(r->result.err.code, ==, ERR_STORE_CONFLICT);
	g_assert_cmpuint(r->result.rev, ==, 7);
	kv_reply_free(r);
	g_assert_cmpint(call_code(&f, cas_call("s413", "{}")), ==,
			ERR_STORE_SIZE);
	g_assert_cmpint(call_code(&f, get_call("s429")), ==, ERR_STORE_RATE);
	g_assert_cmpint(call_code(&f, get_call("broken")), ==,
			ERR_STORE_ANSWER);
	g_assert_cmpint(call_code(&f, get_call("other")), ==, ERR_STORE_ANSWER);
	g_assert_cmpint(call_code(&f, get_call("large")), ==, ERR_STORE_ANSWER);
	g_assert_cmpint(call_code(&f, get_call("a b")), ==, ERR_BAD_FIELD);
	/* A write whose answer is not valid may have taken effect. */
	g_assert_cmpint(call_code(&f, cas_call("broken", "{}")), ==,
			ERR_STORE_UNKNOWN);
	/*
	 * A valid answer between, because two failures in a row begin the
	 * backoff.
	 */
	g_assert_cmpint(call_code(&f, get_call("k")), ==, ERR_OK);
	g_assert_cmpint(call_code(&f, cas_call("s500", "{}")), ==,
			ERR_STORE_UNKNOWN);
	g_assert_cmpint(call_code(&f, get_call("k")), ==, ERR_OK);
	/*
	 * A value over the size limit is not sent: it could not be read back.
	 */
	writes = count_writes(&f);
	g_assert_cmpint(call_code(&f, cas_call("k", value)), ==,
			ERR_STORE_SIZE);
	g_assert_cmpuint(count_writes(&f), ==, writes);
	/* The size limit is on the value, not on its longer encoded text. */
	g_assert_cmpint(call_code(&f, cas_call("k", quotes)), ==, ERR_OK);
	call = (struct kv_call){ .op = KV_LEASE_GRANT, .ttl_ms = 5000 };
	submit(&f, call);
	r = await(&f);
	g_assert_cmpint(r->result.err.code, ==, ERR_OK);
	g_assert_cmpuint(r->result.lease, ==, 3);
	kv_reply_free(r);
	fixture_stop(&f);
}

/* Closes the connection without an answer from its second request on. */
static enum fake_action close_reused(void *ctx, const struct fake_request *r,
				     uint32_t *status, struct buf *out)
{
	record_request(ctx, r);
	if (r->on_connection > 0)
		return FAKE_CLOSE;
	buf_addf(out, ITEM_K);
	return FAKE_REPLY;
}

/*
 * Guards against the HTTP library sending a write again on a new connection
 * after a reused one ended: the write may have run the first time.
 */
static void test_lost_write(void)
{
	struct fixture f;

	fixture_start(&f, close_reused);
	g_assert_cmpint(call_code(&f, get_call("k")), ==, ERR_OK);
	g_assert_cmpint(call_code(&f, cas_call("k", "{}")), ==,
			ERR_STORE_UNKNOWN);
	g_assert_cmpuint(count_writes(&f), ==, 1);
	/* A read is sent again and succeeds. */
	g_assert_cmpint(call_code(&f, get_call("k")), ==, ERR_OK);
	g_assert_cmpint(call_code(&f, get_call("k")), ==, ERR_OK);
	fixture_stop(&f);
}

#define SILENT_CONNECTIONS 4

/*
 * The first SILENT_CONNECTIONS fall silent after one answer; later ones work.
 */
static enum fake_action silent_first(void *ctx, const struct fake_request *r,
				     uint32_t *status, struct buf *out)
{
	record_request(ctx, r);
	if (r->connection < SILENT_CONNECTIONS && r->on_connection > 0)
		return FAKE_SILENT;
	buf_addf(out, ITEM_K);
	return FAKE_REPLY;
}

/*
 * Guards against a read that waits on a silent connection until its timeout, or
 * that is sent again on one silent connection after the other.
 */
static void test_silent(void)
{
	struct fixture f;
	struct kv_call call = get_call("k");
	struct kv_reply *r;
	uint32_t i;

	fixture_new(&f, silent_first);
	/* Calls that start together open one connection each. */
	for (i = 0; i < SILENT_CONNECTIONS; i++)
		submit(&f, call);
	fixture_run(&f);
	for (i = 0; i < SILENT_CONNECTIONS; i++) {
		r = await(&f);
		g_assert_cmpint(r->result.err.code, ==, ERR_OK);
		kv_reply_free(r);
	}
	call.timeout_ms = 2000;
	g_assert_cmpint(call_code(&f, call), ==, ERR_OK);
	g_assert_cmpint(call_code(&f, call), ==, ERR_OK);
	fixture_stop(&f);
}

#define WATCH_HEAD "GET /api/kv-watch?prefix=cfg/head&after="
#define WATCH_WAIT "&waitMs=1000\n"

/*
 * Answers to watches in turn: empty, none, an outage, a change, a lower
 * revision.
 */
static enum fake_action watch_steps(void *ctx, const struct fake_request *r,
				    uint32_t *status, struct buf *out)
{
	record_request(ctx, r);
	switch (r->number) {
	case 0:
		buf_addf(out, "{\"events\":[],\"atRev\":14}");
		return FAKE_REPLY;
	case 1:
		return FAKE_CLOSE;
	case 2:
		*status = 503;
		return FAKE_REPLY;
	case 3:
		buf_addf(out, "{\"events\":[{\"key\":\"cfg/head\","
			      "\"rev\":15,\"value\":\"eA==\"},"
			      "{\"key\":\"cfg/headless\",\"rev\":16,"
			      "\"deleted\":true}],\"atRev\":16}");
		return FAKE_REPLY;
	default:
		buf_addf(out, "{\"events\":[],\"atRev\":2}");
		return FAKE_REPLY;
	}
}

/* Guards against a watch that goes on from a revision too high or too low. */
static void test_watch(void)
{
	struct fixture f;
	struct kv_call call = { .op = KV_WATCH,
				.key = "cfg/head",
				.rev = 12,
				.ttl_ms = 1000,
				.timeout_ms = 20000 };
	struct kv_reply *r;

	fixture_start(&f, watch_steps);
	submit(&f, call);
	r = await(&f);
	g_assert_cmpint(r->result.err.code, ==, ERR_OK);
	g_assert_cmpuint(r->result.rev, ==, 16);
	g_assert_cmpuint(r->result.pair_count, ==, 2);
	g_assert_null(r->result.pairs[1].value);
	kv_reply_free(r);
	/* A store that went back to a lower revision is reported at once. */
	call.rev = 16;
	submit(&f, call);
	r = await(&f);
	g_assert_cmpuint(r->result.rev, ==, 2);
	kv_reply_free(r);
	pthread_mutex_lock(&f.lock);
	g_assert_cmpstr(f.seen->str, ==,
			WATCH_HEAD
			"12" WATCH_WAIT WATCH_HEAD "14" WATCH_WAIT WATCH_HEAD
			"14" WATCH_WAIT WATCH_HEAD "14" WATCH_WAIT WATCH_HEAD
			"16" WATCH_WAIT);
	pthread_mutex_unlock(&f.lock);
	fixture_stop(&f);
}

/*
 * Pages of a listing: one of odd entries only, one with odd entries at its end,
 * the last one; and from request 3 on a page without a key, which says that
 * there are more.
 */
static enum fake_action odd_pages(void *ctx, const struct fake_request *r,
				  uint32_t *status, struct buf *out)
{
	static const char *const pages[] = {
		"{\"items\":[{\"key\":\"servers/a\",\"rev\":\"x\"},"
		"{\"key\":\"servers/b\"}],\"hasMore\":true,\"atRev\":9}",
		"{\"items\":[{\"key\":\"servers/c\",\"rev\":5,\"value\":"
		"\"eA==\"},{\"key\":\"servers/d\",\"rev\":-6},7],"
		"\"hasMore\":true,\"atRev\":10}",
		"{\"items\":[{\"key\":\"servers/e\",\"rev\":8,\"value\":"
		"\"eA==\"}],\"hasMore\":false,\"atRev\":11}",
		"{\"items\":[7],\"hasMore\":true,\"atRev\":11}",
	};

	record_request(ctx, r);
	buf_addf(out, "%s", pages[util_min_u32(r->number, countof(pages) - 1)]);
	return FAKE_REPLY;
}

#define RANGE "GET /api/kv-range?prefix=servers/"

/*
 * Guards against a listing that asks for the same page for ever, or ends early,
 * because of odd entries, and against taking a part of the listing for the
 * whole.
 */
static void test_odd_pages(void)
{
	struct kv_call call = { .op = KV_WATCH,
				.key = "servers/",
				.is_one_shot = 1,
				.ttl_ms = 1000 };
	struct kv_reply *r;
	struct fixture f;

	fixture_start(&f, odd_pages);
	submit(&f, call);
	r = await(&f);
	g_assert_cmpint(r->result.err.code, ==, ERR_OK);
	g_assert_cmpuint(r->result.rev, ==, 9);
	g_assert_cmpuint(r->result.pair_count, ==, 2);
	g_assert_cmpstr(r->result.pairs[0].key, ==, "servers/c");
	g_assert_cmpstr(r->result.pairs[1].key, ==, "servers/e");
	kv_reply_free(r);
	g_assert_cmpint(call_code(&f, call), ==, ERR_STORE_ANSWER);
	pthread_mutex_lock(&f.lock);
	g_assert_cmpstr(f.seen->str, ==,
			RANGE "\n" RANGE "&after=servers/b\n" RANGE
			      "&after=servers/d\n" RANGE "\n");
	pthread_mutex_unlock(&f.lock);
	fixture_stop(&f);
}

/* Answers with a status and an era that the key names: "STATUS-ERA". */
static enum fake_action answer_era(void *ctx, const struct fake_request *r,
				   uint32_t *status, struct buf *out)
{
	const char *key = strstr(r->line, "key=") + strlen("key=");
	const char *era = strchr(key, '-') + 1;

	*status = (uint32_t)atoi(key);
	if (strcmp(era, "none") != 0)
		buf_addf(r->fields, "Store-Era: %s\r\n", era);
	buf_addf(out, "{}");
	return FAKE_REPLY;
}

/*
 * Guards against a new era of the store that is not noticed because the answer
 * says something else, and against one that is no number.
 */
static void test_era(void)
{
	static const struct {
		const char *key;
		uint64_t era;
	} calls[] = {
		{ "404-7", 7 },	  { "410-8", 8 },
		{ "503-9", 9 },	  { "429-10", 10 },
		{ "200-11", 11 }, { "404-none", 0 },
		{ "404--1", 0 },  { "404-7x", 0 },
		{ "404-", 0 },	  { "404-99999999999999999999", 0 },
	};
	struct fixture f;
	uint32_t i;

	for (i = 0; i < countof(calls); i++) {
		struct kv_reply *r;

		/* After a refusal, no call is sent for a while. */
		fixture_start(&f, answer_era);
		submit(&f, get_call(calls[i].key));
		r = await(&f);
		g_assert_cmpint(r->result.err.code, !=, ERR_OK);
		g_assert_cmpuint(r->result.era, ==, calls[i].era);
		kv_reply_free(r);
		fixture_stop(&f);
	}
}

/*
 * Guards against calls that wait until their timeout for a store that refuses
 * connections.
 */
static void test_down(void)
{
	struct fixture f;
	uint32_t i;

	fixture_start(&f, answer_by_key);
	fake_http_free(f.server);
	for (i = 0; i < 3; i++)
		g_assert_cmpint(call_code(&f, cas_call("k", "{}")), ==,
				ERR_STORE_DOWN);
	f.server = fake_http_new(answer_by_key, &f);
	fixture_stop(&f);
}

static void drop_line(void *ctx, const char *line)
{
}

int main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	log_init("test", drop_line, NULL);
	g_test_add_func("/store/codes", test_codes);
	g_test_add_func("/store/lost-write", test_lost_write);
	g_test_add_func("/store/silent", test_silent);
	g_test_add_func("/store/watch", test_watch);
	g_test_add_func("/store/odd-pages", test_odd_pages);
	g_test_add_func("/store/era", test_era);
	g_test_add_func("/store/down", test_down);
	return g_test_run();
}
