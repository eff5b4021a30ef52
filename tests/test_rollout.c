/*
 * Scripted runs over the gateway's rollouts: the controller in virtual time
 * (canary) and the JSON documents that it reads and writes (gwrolloutjson).
 * Each script names the failure that it guards against.
 */
#include <glib.h>
#include <string.h>

#include "base/log.h"
#include "codec/gw_rollout_json.h"
#include "controller/canary.h"
#include "platform/platform_docs.h"
#include "model/store_pos.h"
#include "script.h"

struct canary_ctx {
	struct canary *canary;
	int64_t now_us;
	uint64_t rev;
	/*
	 * Latest writes of the controller, until the store accepts or refuses
	 * them; empty service: none.
	 */
	struct gw_rollout item;
	struct gw_rollout_status status;
	/* Output of the script line that runs; the callbacks append to it. */
	struct buf *out;
};

static void on_item(void *ctx, const struct gw_rollout *item, uint64_t if_rev)
{
	struct canary_ctx *c = ctx;
	char *json = gw_rollout_json_encode(item);

	c->item = *item;
	buf_addf(c->out, "%lld ms: item if %llu: %s\n",
		 (long long)c->now_us / US_PER_MS,
		 (unsigned long long)store_pos_rev(if_rev), json);
	free(json);
}

static void on_status(void *ctx, const struct gw_rollout_status *status,
		      uint64_t if_rev)
{
	struct canary_ctx *c = ctx;
	char *json = platform_rollout_status_encode(status);

	c->status = *status;
	buf_addf(c->out, "%lld ms: status if %llu: %s\n",
		 (long long)c->now_us / US_PER_MS,
		 (unsigned long long)store_pos_rev(if_rev), json);
	free(json);
}

static void on_changed(void *ctx, int64_t now_us)
{
}

static const struct canary_ops ops = { on_item, on_status, on_changed };

static void *canary_ctx_new(void)
{
	struct canary_ctx *c = util_alloc(1, sizeof(*c));

	c->canary = canary_new(100, &ops, c);
	c->rev = 10;
	return c;
}

static void canary_ctx_free(void *ctx)
{
	struct canary_ctx *c = ctx;

	canary_free(c->canary);
	free(c);
}

/* order VERSION SECONDS, or order gone: the operator deletes the order. */
static void cmd_order(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct canary_ctx *c = ctx;
	struct gw_rollout_order order = { .service = "s1" };

	c->out = out;
	if (strcmp(argv[0], "gone") == 0) {
		canary_on_order_deleted(c->canary, "s1", c->now_us);
		return;
	}
	util_copy_str(order.to, sizeof(order.to), argv[0]);
	order.duration_ms = (uint32_t)strtoul(argv[1], NULL, 10) * MS_PER_S;
	canary_on_order(c->canary, &order, ++c->rev, c->now_us);
}

/* accept: the store takes the latest writes and this host reads them back. */
static void cmd_accept(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct canary_ctx *c = ctx;

	c->out = out;
	if (c->item.service[0])
		canary_on_item(c->canary, &c->item, ++c->rev, c->now_us);
	if (c->status.service[0])
		canary_on_status(c->canary, &c->status, ++c->rev);
	c->item.service[0] = '\0';
	c->status.service[0] = '\0';
}

/* refuse: the store refuses the latest writes. */
static void cmd_refuse(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct canary_ctx *c = ctx;

	c->item.service[0] = '\0';
	c->status.service[0] = '\0';
	canary_on_write_failed(c->canary, "s1");
}

/*
 * item VERSION order=REV [order_era=N] state=0|1|2 share=N elapsed=MS: from
 * another host, or from the copy of which the store came back.
 */
static void cmd_item(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct canary_ctx *c = ctx;
	struct gw_rollout item = { .service = "s1" };

	c->out = out;
	util_copy_str(item.to, sizeof(item.to), argv[0]);
	item.order_rev = store_pos(script_u32(argc, argv, "order_era",
					      (uint32_t)store_pos_era(c->rev)),
				   script_u32(argc, argv, "order", 11));
	item.state = script_u32(argc, argv, "state", 0);
	item.share_permille = script_u32(argc, argv, "share", 0);
	item.elapsed_ms = script_u32(argc, argv, "elapsed", 0);
	canary_on_item(c->canary, &item, ++c->rev, c->now_us);
}

/*
 * run MS [rank=N] [accept=1]: ticks every 100 ms for MS; with accept=1 the
 * store takes the writes of each tick.
 */
static void cmd_run(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct canary_ctx *c = ctx;
	int64_t until_us = c->now_us + atoll(argv[0]) * US_PER_MS;
	uint32_t rank = script_u32(argc, argv, "rank", 0);

	c->out = out;
	while (c->now_us < until_us) {
		c->now_us += 100 * US_PER_MS;
		canary_tick(c->canary, rank, c->now_us);
		if (script_u32(argc, argv, "accept", 0))
			cmd_accept(c, 0, NULL, out);
	}
}

/*
 * evidence VERSION requests=N [failures=N] [slow=N] [bad=1] [old=N]
 * [old_failures=N]: counts of VERSION, and those of the old version.
 */
static void cmd_evidence(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct canary_ctx *c = ctx;
	struct rollout_report counts[2] = { { .service = "s1" },
					    { .service = "s1" } };

	c->out = out;
	util_copy_str(counts[0].version, sizeof(counts[0].version), argv[0]);
	counts[0].requests = script_u32(argc, argv, "requests", 0);
	counts[0].failures = script_u32(argc, argv, "failures", 0);
	counts[0].slow = script_u32(argc, argv, "slow", 0);
	counts[0].is_bad = script_u32(argc, argv, "bad", 0);
	counts[1].requests = script_u32(argc, argv, "old", 0);
	counts[1].failures = script_u32(argc, argv, "old_failures", 0);
	canary_on_report(c->canary, counts, 2, c->now_us);
}

static void cmd_shares(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct canary_ctx *c = ctx;
	struct gw_version_share *shares CLEANUP_FREE =
		util_alloc(canary_share_max(c->canary), sizeof(shares[0]));
	uint32_t n = canary_shares(c->canary, shares);
	uint32_t i;

	for (i = 0; i < n; i++) {
		uint32_t k;

		buf_addf(out, "%s %s %u permille%s", shares[i].service,
			 shares[i].version, shares[i].share_permille,
			 shares[i].is_bad ? " bad" : "");
		for (k = 0; k < shares[i].barred.count; k++)
			buf_addf(out, " barred %s",
				 shares[i].barred.versions[k]);
		buf_addf(out, "\n");
	}
	buf_addf(out, "%s\n",
		 canary_is_active(c->canary) ? "active" : "not active");
}

/*
 * returns ERA REV: the store comes back from a copy; the documents that follow
 * are those in it, from revision REV on.
 */
static void cmd_returns(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct canary_ctx *c = ctx;

	c->out = out;
	c->rev = store_pos(strtoull(argv[0], NULL, 10),
			   strtoull(argv[1], NULL, 10));
	canary_store_returns(c->canary);
}

/* returned: these were all; the documents that follow are new. */
static void cmd_returned(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct canary_ctx *c = ctx;

	canary_store_returned(c->canary);
}

/* take_held: what has not been written again by now is in effect. */
static void cmd_take_held(void *ctx, uint32_t argc, char **argv,
			  struct buf *out)
{
	struct canary_ctx *c = ctx;

	c->out = out;
	canary_take_held(c->canary, c->now_us);
}

/* fill N: orders for N further services; prints how many shares there are. */
static void cmd_fill(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct canary_ctx *c = ctx;
	uint32_t n = (uint32_t)strtoul(argv[0], NULL, 10);
	struct gw_version_share *shares;
	uint32_t i;

	c->out = out;
	for (i = 0; i < n; i++) {
		struct gw_rollout_order order = { .to = "v2",
						  .duration_ms = 12000 };

		snprintf(order.service, sizeof(order.service), "f%u", i);
		canary_on_order(c->canary, &order, ++c->rev, c->now_us);
	}
	shares = util_alloc(canary_share_max(c->canary), sizeof(shares[0]));
	buf_addf(out, "%u shares\n", canary_shares(c->canary, shares));
	free(shares);
}

static const struct script_command canary_commands[] = {
	{ "order", cmd_order },
	{ "accept", cmd_accept },
	{ "refuse", cmd_refuse },
	{ "item", cmd_item },
	{ "run", cmd_run },
	{ "evidence", cmd_evidence },
	{ "shares", cmd_shares },
	{ "fill", cmd_fill },
	{ "returns", cmd_returns },
	{ "returned", cmd_returned },
	{ "take_held", cmd_take_held },
};

static void *no_ctx(void)
{
	return NULL;
}

static void free_no_ctx(void *ctx)
{
}

static void cmd_read_order(void *ctx, uint32_t argc, char **argv,
			   struct buf *out)
{
	struct gw_rollout_order order;
	struct err err = { 0 };

	if (platform_rollout_order_decode("s1", argv[0],
					  (uint32_t)strlen(argv[0]), &order,
					  &err) == ERR_OK)
		buf_addf(out, "%s to %s in %u ms\n", order.service, order.to,
			 order.duration_ms);
	else
		buf_addf(out, "%s: %s\n", err_name(err.code), err.detail);
}

static void cmd_read_status(void *ctx, uint32_t argc, char **argv,
			    struct buf *out)
{
	struct gw_rollout_status status;
	struct err err = { 0 };

	if (platform_rollout_status_decode("s1", argv[0],
					   (uint32_t)strlen(argv[0]), &status,
					   &err) == ERR_OK)
		buf_addf(out, "%s to %s state %u\n", status.service, status.to,
			 status.state);
	else
		buf_addf(out, "%s: %s\n", err_name(err.code), err.detail);
}

/* item JSON: decodes the document and encodes it again. */
static void cmd_read_item(void *ctx, uint32_t argc, char **argv,
			  struct buf *out)
{
	struct gw_rollout item;
	struct err err = { 0 };
	char *json;

	if (gw_rollout_json_decode("s1", argv[0], (uint32_t)strlen(argv[0]),
				   &item, &err) != ERR_OK) {
		buf_addf(out, "%s: %s\n", err_name(err.code), err.detail);
		return;
	}
	json = gw_rollout_json_encode(&item);
	buf_addf(out, "%s\n", json);
	free(json);
}

static void cmd_key(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	const char *name;
	enum platform_key_kind kind = platform_key_parse(argv[0], &name);

	buf_addf(out, "%d %s\n", (int)kind, name);
}

static const struct script_command json_commands[] = {
	{ "order", cmd_read_order },
	{ "status", cmd_read_status },
	{ "item", cmd_read_item },
	{ "key", cmd_key },
};

static void drop_line(void *ctx, const char *line)
{
}

int main(int argc, char **argv)
{
	const struct script_area areas[] = {
		{ "canary", canary_ctx_new, canary_ctx_free,
		  countof(canary_commands), canary_commands },
		{ "gwrolloutjson", no_ctx, free_no_ctx, countof(json_commands),
		  json_commands },
	};

	log_init("test", drop_line, NULL);
	return script_main(argc, argv, areas, countof(areas));
}
