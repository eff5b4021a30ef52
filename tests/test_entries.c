/*
 * Scripted runs over the decoders of what the store holds: entries of targets
 * and hosts, the configuration, rollouts, and answers of the store. The rest of
 * a script line is the document, with script_text().
 */
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "codec/gw_host_json.h"
#include "codec/gw_rollout_json.h"
#include "platform/kv_json.h"
#include "platform/platform_docs.h"
#include "script.h"

static void *no_ctx(void)
{
	return NULL;
}

static void free_no_ctx(void *ctx)
{
}

/* Prints the error, if there is one, and returns 1 then. */
static int refused(const struct err *err, struct buf *out)
{
	if (err->code != ERR_OK)
		buf_addf(out, "%s %s\n", err_name(err->code), err->detail);
	return err->code != ERR_OK;
}

/* target JSON: an entry of a target. */
static void cmd_target(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct buf text CLEANUP_BUF = { 0 };
	struct err err = { 0 };
	struct target_entry t;

	script_text(argc, argv, 0, &text);
	platform_target_decode("t1", text.data, (uint32_t)text.len_bytes, &t,
			       &err);
	if (!refused(&err, out))
		buf_addf(out,
			 "service %s at %s:%u dc %s slots %u draining %u "
			 "warmup %u ms started %" PRId64 " ms\n",
			 t.service, t.address, t.port, t.data_centre, t.slots,
			 t.is_draining, t.warmup_left_ms, t.started_ms);
}

/* ids JSON: which entries of a listing below "servers/" are targets. */
static void cmd_ids(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct buf text CLEANUP_BUF = { 0 };
	struct kv_call call = { .op = KV_WATCH, .key = "servers/" };
	struct kv_result r = { 0 };
	uint32_t i;

	script_text(argc, argv, 0, &text);
	kv_json_decode(&call, 200, text.data, text.len_bytes, &r);
	for (i = 0; i < r.pair_count; i++) {
		g_autofree char *shown = g_strescape(r.pairs[i].key, NULL);
		struct err err = { 0 };
		struct target_entry t;
		const char *id;

		platform_key_parse(r.pairs[i].key, &id);
		platform_target_decode(id, r.pairs[i].value,
				       r.pairs[i].value_bytes, &t, &err);
		buf_addf(out, "%s: %s\n", shown,
			 err.code == ERR_OK ? "target" : err_name(err.code));
	}
	kv_result_clear(&r);
}

/* host JSON: an entry of a host. */
static void cmd_host(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct buf text CLEANUP_BUF = { 0 };
	struct host_entry h = { 0 };
	struct err err = { 0 };

	script_text(argc, argv, 0, &text);
	gw_host_json_decode(text.data, (uint32_t)text.len_bytes, &h, &err);
	if (!refused(&err, out))
		buf_addf(out, "dc %s at %s:%u core %u permille\n",
			 h.data_centre, h.address, h.port, h.core_permille);
}

/* config JSON: a configuration. */
static void cmd_config(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct buf text CLEANUP_BUF = { 0 };
	struct route_config *c;
	struct err err = { 0 };
	uint32_t i;

	script_text(argc, argv, 0, &text);
	c = platform_config_decode(text.data, (uint32_t)text.len_bytes, &err);
	if (refused(&err, out))
		return;
	buf_addf(out, "version %" PRIu64 "\n", c->version);
	for (i = 0; i < c->route_count; i++)
		buf_addf(out, "route %s parts %u min %u timeout %u ms\n",
			 c->routes[i].name, c->routes[i].part_count,
			 c->routes[i].parts_min, c->routes[i].timeout_ms);
	route_config_unref(c);
}

/* services JSON: the services of the configuration. */
static void cmd_services(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct buf text CLEANUP_BUF = { 0 };
	struct route_config *c;
	struct err err = { 0 };
	uint32_t i;

	script_text(argc, argv, 0, &text);
	c = platform_config_decode(text.data, (uint32_t)text.len_bytes, &err);
	if (refused(&err, out))
		return;
	for (i = 0; i < c->service_count; i++)
		buf_addf(out,
			 "service %s connections %u cold rate %u/1000 a "
			 "second\n",
			 c->services[i].name,
			 c->services[i].target_connections_max,
			 c->services[i].cold_rate_milli);
	route_config_unref(c);
}

/* order JSON: an order to roll out a version. */
static void cmd_order(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct buf text CLEANUP_BUF = { 0 };
	struct gw_rollout_order o;
	struct err err = { 0 };

	script_text(argc, argv, 0, &text);
	platform_rollout_order_decode("s1", text.data, (uint32_t)text.len_bytes,
				      &o, &err);
	if (!refused(&err, out))
		buf_addf(out, "to %s in %u ms\n", o.to, o.duration_ms);
}

/* list JSON: the store's answer to a listing below "servers/". */
static void cmd_list(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct buf text CLEANUP_BUF = { 0 };
	struct kv_call call = { .op = KV_WATCH, .key = "servers/" };
	struct kv_result r = { 0 };
	uint32_t i;

	script_text(argc, argv, 0, &text);
	kv_json_decode(&call, 200, text.data, text.len_bytes, &r);
	if (!refused(&r.err, out)) {
		for (i = 0; i < r.pair_count; i++)
			buf_addf(out, "%s at %" PRIu64 ": %u bytes\n",
				 r.pairs[i].key, r.pairs[i].rev,
				 r.pairs[i].value_bytes);
		buf_addf(out, "skipped %u, next page after '%s'\n",
			 r.skipped_count, r.last_key);
	}
	kv_result_clear(&r);
}

/* events N [bytes=N]: the store's answer to a watch, with N changes. */
static void cmd_events(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct kv_call call = { .op = KV_WATCH, .rev = 1, .key = "" };
	struct buf text CLEANUP_BUF = { 0 };
	struct kv_result r = { 0 };
	uint32_t n = (uint32_t)strtoul(argv[0], NULL, 10);
	uint32_t i;

	buf_addf(&text, "{\"events\":[");
	for (i = 0; i < n; i++)
		buf_addf(&text,
			 "%s{\"key\":\"k%u\",\"rev\":%u,\"value\":\"e30=\"}",
			 i ? "," : "", i, i + 2);
	buf_addf(&text, "],\"atRev\":%u,\"x\":\"%*s\"}", n + 1,
		 (int)script_int(argc, argv, "bytes", 1), "");
	kv_json_decode(&call, 200, text.data, text.len_bytes, &r);
	if (!refused(&r.err, out))
		buf_addf(out, "%u pairs, more %u\n", r.pair_count, r.has_more);
	kv_result_clear(&r);
}

static const struct script_command commands[] = {
	{ "target", cmd_target },     { "host", cmd_host },
	{ "config", cmd_config },     { "order", cmd_order },
	{ "list", cmd_list },	      { "events", cmd_events },
	{ "services", cmd_services }, { "ids", cmd_ids },
};

int main(int argc, char **argv)
{
	const struct script_area areas[] = {
		{ "entries", no_ctx, free_no_ctx, countof(commands), commands },
	};

	return script_main(argc, argv, areas, countof(areas));
}
