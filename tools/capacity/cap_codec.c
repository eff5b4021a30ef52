/*
 * Sizes of heartbeats and batches in XDR, and the CPU time to encode them and
 * to encode and decode sub-requests and answers in JSON.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/util.h"
#include "cap.h"
#include "codec/caller_json.h"
#include "codec/peer_msg.h"
#include "codec/target_json.h"

#define REPEATS 2000
#define XDR_BYTES 65536
#define BATCH_TEXT_BYTES 4096

static void make_heartbeat(struct heartbeat *h, uint32_t notices)
{
	uint32_t i;

	memset(h, 0, sizeof(*h));
	util_copy_str(h->host, sizeof(h->host), "entry-host-00001");
	util_copy_str(h->data_centre, sizeof(h->data_centre), "dc-01");
	util_copy_str(h->address, sizeof(h->address), "10.0.0.1");
	h->port = 8082;
	h->state = HOST_LIVE;
	h->notice_count = notices;
	for (i = 0; i < notices; i++) {
		snprintf(h->notices[i].target, NAME_BYTES, "target-%05u", i);
		snprintf(h->notices[i].instance, NAME_BYTES,
			 "target-%05u-4711-1", i);
		h->notices[i].kind = TARGET_NOTICE_WARM;
	}
}

static double heartbeat_bytes(void *ctx)
{
	struct heartbeat h;
	struct peer_msg_heartbeat x;

	make_heartbeat(&h, *(uint32_t *)ctx);
	return peer_msg_from_heartbeat(&h, &x);
}

static double heartbeat_cpu_us(void *ctx)
{
	struct heartbeat h;
	struct peer_msg_heartbeat x;
	char data[XDR_BYTES];
	double cpu_us = cap_cpu_us();
	uint32_t i;

	make_heartbeat(&h, *(uint32_t *)ctx);
	for (i = 0; i < REPEATS; i++) {
		XDR xdrs;

		peer_msg_from_heartbeat(&h, &x);
		xdrmem_create(&xdrs, data, sizeof(data), XDR_ENCODE);
		if (!xdr_peer_heartbeat(&xdrs, &x.xdr))
			abort();
		xdr_destroy(&xdrs);
	}
	return (cap_cpu_us() - cpu_us) / REPEATS;
}

/*
 * Entry of the batch message that section 9 of the design describes. The
 * message is not part of peer.x; the form measured here is the likely one: the
 * common fields once, then one entry for each sub-request.
 */
struct batch_entry {
	uint64_t sub_id;
	char *shard;
	char *target;
};

static bool_t xdr_entry(XDR *xdrs, struct batch_entry *e)
{
	return xdr_uint64_t(xdrs, &e->sub_id) &&
	       xdr_string(xdrs, &e->shard, NAME_BYTES) &&
	       xdr_string(xdrs, &e->target, NAME_BYTES);
}

static bool_t xdr_batch(XDR *xdrs, struct batch_entry *entries, uint32_t count)
{
	char *names[] = { "c1-4711", "index-0", "s1", "heron in flight" };
	uint32_t deadline_ms = 90;
	uint32_t i;

	for (i = 0; i < countof(names); i++) {
		if (!xdr_string(xdrs, &names[i], BATCH_TEXT_BYTES))
			return FALSE;
	}
	if (!xdr_uint32_t(xdrs, &deadline_ms) || !xdr_uint32_t(xdrs, &count))
		return FALSE;
	for (i = 0; i < count; i++) {
		if (!xdr_entry(xdrs, &entries[i]))
			return FALSE;
	}
	return TRUE;
}

struct batch_run {
	/* Entries of the batch. */
	uint32_t count;
	/* Size of the encoded message, set by batch_cpu_us(). */
	double bytes;
};

static double batch_cpu_us(void *ctx)
{
	struct batch_run *r = ctx;
	struct batch_entry entries[60];
	char data[XDR_BYTES];
	double cpu_us;
	uint32_t i;

	for (i = 0; i < r->count; i++)
		entries[i] =
			(struct batch_entry){ i, "shard-0001", "target-00001" };
	cpu_us = cap_cpu_us();
	for (i = 0; i < REPEATS; i++) {
		XDR xdrs;

		xdrmem_create(&xdrs, data, sizeof(data), XDR_ENCODE);
		if (!xdr_batch(&xdrs, entries, r->count))
			abort();
		r->bytes = xdr_getpos(&xdrs);
		xdr_destroy(&xdrs);
	}
	return (cap_cpu_us() - cpu_us) / REPEATS;
}

static double batch_bytes(void *ctx)
{
	batch_cpu_us(ctx);
	return ((struct batch_run *)ctx)->bytes;
}

/* Encodes the answer to a batch: ten hits for each sub-request. */
static double answer_cpu_us(void *ctx)
{
	uint32_t count = *(uint32_t *)ctx;
	char data[XDR_BYTES];
	char *id = "shard-0001-d1";
	char *doc = "{\"title\":\"heron\"}";
	double cpu_us = cap_cpu_us();
	uint32_t i;
	uint32_t k;

	for (i = 0; i < REPEATS; i++) {
		XDR xdrs;

		xdrmem_create(&xdrs, data, sizeof(data), XDR_ENCODE);
		for (k = 0; k < count * 10; k++) {
			double score = 1.0 / (k + 1);

			if (!xdr_string(&xdrs, &id, NAME_BYTES) ||
			    !xdr_double(&xdrs, &score) ||
			    !xdr_string(&xdrs, &doc, BATCH_TEXT_BYTES))
				abort();
		}
		xdr_destroy(&xdrs);
	}
	return (cap_cpu_us() - cpu_us) / REPEATS;
}

/* Encodes a sub-request with a query of *@ctx bytes. */
static double encode_cpu_us(void *ctx)
{
	struct subrequest_msg call = { .sub_id = 4711,
				       .op = OP_SEARCH,
				       .limit = 10 };
	uint32_t bytes = *(uint32_t *)ctx;
	double cpu_us;
	uint32_t i;

	util_copy_str(call.request_id, sizeof(call.request_id), "c1-4711");
	util_copy_str(call.index, sizeof(call.index), "index-0");
	util_copy_str(call.shard, sizeof(call.shard), "shard-0001");
	util_copy_str(call.snapshot, sizeof(call.snapshot), "s1");
	call.text = g_strnfill(bytes, 'x');
	cpu_us = cap_cpu_us();
	for (i = 0; i < REPEATS; i++)
		free(target_json_encode(&call, 90));
	cpu_us = (cap_cpu_us() - cpu_us) / REPEATS;
	g_free(call.text);
	return cpu_us;
}

/* Decodes the answer to a sub-request, with *@ctx hits. */
static double decode_cpu_us(void *ctx)
{
	uint32_t hits = *(uint32_t *)ctx;
	struct buf b CLEANUP_BUF = { 0 };
	double cpu_us;
	uint32_t i;

	buf_addf(&b, "{\"request_id\":\"c1-4711\",\"sub_id\":4711,"
		     "\"shard\":\"shard-0001\",\"snapshot\":\"s1\","
		     "\"instance\":\"t1-1-1\",\"hits\":[");
	for (i = 0; i < hits; i++)
		buf_addf(&b,
			 "%s{\"id\":\"d%u\",\"score\":%u.5,"
			 "\"doc\":{\"title\":\"heron\"}}",
			 i ? "," : "", i, 100 - i);
	buf_addf(&b, "]}");
	cpu_us = cap_cpu_us();
	for (i = 0; i < REPEATS; i++) {
		struct subrequest_result *r = util_alloc(1, sizeof(*r));

		target_json_decode(r, 200, b.data, b.len_bytes);
		subrequest_result_free(r);
	}
	return (cap_cpu_us() - cpu_us) / REPEATS;
}

/* Encodes the answer to a caller, with *@ctx hits merged from 600 shards. */
static double caller_answer_cpu_us(void *ctx)
{
	uint32_t hits = *(uint32_t *)ctx;
	struct answer a = { .shards_total = 600,
			    .shards_answered = 600,
			    .is_complete = 1 };
	double cpu_us;
	uint32_t i;

	util_copy_str(a.request_id, sizeof(a.request_id), "c1-4711");
	util_copy_str(a.snapshot, sizeof(a.snapshot), "s1");
	for (i = 0; i < hits; i++) {
		char id[NAME_BYTES];

		snprintf(id, sizeof(id), "document-%u", i);
		hits_add(&a.hits, id, 10.0 / (i + 1),
			 util_strdup("{\"title\":\"heron\"}"));
	}
	cpu_us = cap_cpu_us();
	for (i = 0; i < REPEATS; i++)
		free(caller_json_encode(&a));
	cpu_us = (cap_cpu_us() - cpu_us) / REPEATS;
	hits_free(&a.hits);
	return cpu_us;
}

static void measure(struct cap *c, const char *name, const char *x_unit,
		    const char *y_unit, const uint32_t *sizes, uint32_t count,
		    cap_run_fn *run)
{
	struct cap_series *s = cap_start(c, name, x_unit, y_unit);
	uint32_t i;

	for (i = 0; i < count; i++) {
		/*
		 * Batch runs read the whole struct, the others its first field.
		 */
		struct batch_run r = { sizes[i], 0 };

		cap_point(s, sizes[i], cap_median(run, &r));
	}
	cap_fit(s);
}

void cap_codec(struct cap *c)
{
	static const uint32_t notices[] = { 0, 4, 8, 12 };
	static const uint32_t batches[] = { 1, 15, 30, 60 };
	static const uint32_t hits[] = { 0, 10, 20, 50 };
	static const uint32_t texts[] = { 5, 100, 500, 1000 };

	measure(c, "heartbeat size", "notice", "bytes", notices,
		countof(notices), heartbeat_bytes);
	measure(c, "heartbeat XDR", "notice", "us", notices, countof(notices),
		heartbeat_cpu_us);
	measure(c, "batch XDR", "sub-request", "us", batches, countof(batches),
		batch_cpu_us);
	measure(c, "batch size", "sub-request", "bytes", batches,
		countof(batches), batch_bytes);
	measure(c, "batch answer XDR, 10 hits each", "sub-request", "us",
		batches, countof(batches), answer_cpu_us);
	measure(c, "sub-request JSON encoding", "query byte", "us", texts,
		countof(texts), encode_cpu_us);
	measure(c, "caller answer JSON encoding", "hit", "us", hits,
		countof(hits), caller_answer_cpu_us);
	measure(c, "sub-request JSON decoding", "hit", "us", hits,
		countof(hits), decode_cpu_us);
}
