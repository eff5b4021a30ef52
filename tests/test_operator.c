/*
 * Scripted runs over the controllers that operators' changes go to, with a
 * virtual clock: data centres and hosts out of service (evacuation), rollouts
 * of a service's versions (rollout) and service levels (slo). Each script
 * names the failure that it guards against.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "controller/evacuation.h"
#include "controller/rollout.h"
#include "controller/slo.h"
#include "script.h"

#define HOSTS_MAX 8

struct evacuation_ctx {
	struct evacuation *evacuation;
	uint32_t host_count;
	struct evacuation_host hosts[HOSTS_MAX];
};

static void *evacuation_ctx_new(void)
{
	struct evacuation_ctx *c = util_alloc(1, sizeof(*c));

	c->evacuation = evacuation_new();
	return c;
}

static void evacuation_ctx_free(void *ctx)
{
	struct evacuation_ctx *c = ctx;

	evacuation_free(c->evacuation);
	free(c);
}

static int64_t ms_arg(uint32_t argc, char **argv, const char *name)
{
	return script_int(argc, argv, name, 0) * US_PER_MS;
}

static enum evacuation_kind kind_arg(uint32_t argc, char **argv)
{
	return strcmp(script_arg(argc, argv, "kind", "dc"), "dc") == 0
		       ? EVACUATION_DATA_CENTRE
		       : EVACUATION_HOST;
}

/* host name=H [dc=D] [state=S] [rev=N]: adds or changes host H. */
static void evacuation_cmd_host(void *ctx, uint32_t argc, char **argv,
				struct buf *out)
{
	static const char *const names[] = { "live", "suspect", "gone",
					     "leaving" };
	const char *name = script_arg(argc, argv, "name", "h1");
	const char *state = script_arg(argc, argv, "state", "live");
	struct evacuation_ctx *c = ctx;
	struct evacuation_host *h;
	uint32_t i;

	for (i = 0; i < c->host_count; i++) {
		if (strcmp(c->hosts[i].host, name) == 0)
			break;
	}
	g_assert_cmpuint(i, <, HOSTS_MAX);
	h = &c->hosts[i];
	c->host_count = util_max_u32(c->host_count, i + 1);
	util_copy_str(h->host, NAME_BYTES, name);
	util_copy_str(h->data_centre, NAME_BYTES,
		      script_arg(argc, argv, "dc", "a"));
	h->adopted_rev = (uint64_t)script_int(argc, argv, "rev", 0);
	for (i = 0; i < countof(names); i++) {
		if (strcmp(names[i], state) == 0)
			h->contact = (enum evacuation_contact)i;
	}
}

/*
 * apply [kind=host] name=N state=in|out [rev=N] [ms=TIME]: an item is adopted.
 */
static void evacuation_cmd_apply(void *ctx, uint32_t argc, char **argv,
				 struct buf *out)
{
	struct evacuation_ctx *c = ctx;
	int is_out = strcmp(script_arg(argc, argv, "state", "in"), "out") == 0;

	evacuation_apply(c->evacuation, ms_arg(argc, argv, "ms"),
			 kind_arg(argc, argv),
			 script_arg(argc, argv, "name", "a"),
			 is_out ? EVACUATION_OUT : EVACUATION_IN,
			 (uint64_t)script_int(argc, argv, "rev", 0));
}

static void evacuation_cmd_share(void *ctx, uint32_t argc, char **argv,
				 struct buf *out)
{
	struct evacuation_ctx *c = ctx;
	int64_t now_us = ms_arg(argc, argv, "ms");
	int64_t next_us = evacuation_next_change_us(c->evacuation, now_us);

	buf_addf(out, "share %u next %" PRId64 " ms, host out %d\n",
		 evacuation_share_permille(c->evacuation,
					   script_arg(argc, argv, "name", "a"),
					   now_us),
		 next_us < 0 ? -1 : next_us / US_PER_MS,
		 evacuation_host_is_out(c->evacuation,
					script_arg(argc, argv, "name", "a")));
}

static void evacuation_cmd_status(void *ctx, uint32_t argc, char **argv,
				  struct buf *out)
{
	struct evacuation_ctx *c = ctx;
	struct evacuation_status status;

	evacuation_status(c->evacuation, ms_arg(argc, argv, "ms"),
			  kind_arg(argc, argv),
			  script_arg(argc, argv, "name", "a"), c->hosts,
			  c->host_count, &status);
	buf_addf(out, "complete %u\n", status.complete);
	evacuation_status_text(&status, c->hosts, c->host_count, out);
}

static const struct script_command evacuation_commands[] = {
	{ "host", evacuation_cmd_host },
	{ "apply", evacuation_cmd_apply },
	{ "share", evacuation_cmd_share },
	{ "status", evacuation_cmd_status },
};

struct rollout_ctx {
	struct rollout *rollout;
	/* Output of the script line that runs; the callbacks append to it. */
	struct buf *out;
	/* Number of the latest lease call to the store. */
	uint32_t call;
};

static void on_grant(void *ctx, uint32_t call, uint32_t ttl_ms)
{
	struct rollout_ctx *c = ctx;

	c->call = call;
	buf_addf(c->out, "store: grant %u ms\n", ttl_ms);
}

static void on_claim(void *ctx, uint32_t call, uint64_t lease)
{
	struct rollout_ctx *c = ctx;

	c->call = call;
	buf_addf(c->out, "store: claim with lease %" PRIu64 "\n", lease);
}

static void on_renew(void *ctx, uint32_t call, uint64_t lease)
{
	struct rollout_ctx *c = ctx;

	c->call = call;
	buf_addf(c->out, "store: renew lease %" PRIu64 "\n", lease);
}

static void on_revoke(void *ctx, uint64_t lease)
{
	struct rollout_ctx *c = ctx;

	buf_addf(c->out, "store: revoke lease %" PRIu64 "\n", lease);
}

static int on_write(void *ctx, const struct rollout_item *item, uint64_t if_rev)
{
	struct rollout_ctx *c = ctx;

	buf_addf(c->out,
		 "write: %s share %u fence %" PRIu64 " if %" PRIu64 "%s%s\n",
		 rollout_state_name(item->state), item->share_permille,
		 item->fence, if_rev, item->reason[0] ? ": " : "",
		 item->reason);
	return 1;
}

static void on_changed(void *ctx)
{
	struct rollout_ctx *c = ctx;

	buf_addf(c->out, "changed\n");
}

static void on_note(void *ctx, const char *service, const char *text)
{
	struct rollout_ctx *c = ctx;

	buf_addf(c->out, "note: %s: %s\n", service, text);
}

static const struct rollout_ops rollout_test_ops = {
	.leadership = { on_grant, on_claim, on_renew, on_revoke },
	.write_item = on_write,
	.shares_changed = on_changed,
	.note = on_note,
};

static void *rollout_ctx_new(void)
{
	struct rollout_ctx *c = util_alloc(1, sizeof(*c));

	c->rollout = rollout_new("h1", 1, &rollout_test_ops, c);
	rollout_set_host_count(c->rollout, 8);
	rollout_set_candidate(c->rollout, 1);
	return c;
}

static void rollout_ctx_free(void *ctx)
{
	struct rollout_ctx *c = ctx;

	rollout_free(c->rollout);
	free(c);
}

/* item [rev=N] [ms=TIME] ...: this host adopts the rollout's item. */
static void rollout_cmd_item(void *ctx, uint32_t argc, char **argv,
			     struct buf *out)
{
	struct rollout_ctx *c = ctx;
	int64_t now_us = ms_arg(argc, argv, "ms");
	struct rollout_item item = { 0 };
	struct err err = { 0 };

	c->out = out;
	util_copy_str(item.service, NAME_BYTES, "svc");
	util_copy_str(item.from, NAME_BYTES,
		      script_arg(argc, argv, "from", "v1"));
	util_copy_str(item.to, NAME_BYTES, script_arg(argc, argv, "to", "v2"));
	item.share_permille = (uint32_t)script_int(argc, argv, "share", 10);
	item.fence = (uint64_t)script_int(argc, argv, "fence", 0);
	item.finish_by_ms = (uint64_t)script_int(argc, argv, "finish", 60000);
	item.state = rollout_state_from_name(
		script_arg(argc, argv, "state", "running"));
	util_copy_str(item.reason, REASON_BYTES,
		      script_arg(argc, argv, "reason", ""));
	rollout_on_item(c->rollout, now_us, now_us / US_PER_MS, &item,
			(uint64_t)script_int(argc, argv, "rev", 1), &err);
	if (err.code != ERR_OK)
		buf_addf(out, "%s %s\n", err_name(err.code), err.detail);
}

/* Reads the value of @name, which has the form REQUESTS/FAILURES/SLOW. */
static void counts_arg(uint32_t argc, char **argv, const char *name,
		       uint32_t *requests, uint32_t *failures, uint32_t *slow)
{
	const char *text = script_arg(argc, argv, name, "0/0/0");

	g_assert_cmpint(sscanf(text, "%u/%u/%u", requests, failures, slow), ==,
			3);
}

/*
 * evidence new=COUNTS old=COUNTS [times=N] [ms=TIME]: N times, counts of this
 * host's requests to v2 (new) and v1 (old).
 */
static void rollout_cmd_evidence(void *ctx, uint32_t argc, char **argv,
				 struct buf *out)
{
	struct rollout_ctx *c = ctx;
	struct version_counts counts[2] = { 0 };
	int64_t times = script_int(argc, argv, "times", 1);
	uint32_t i;

	c->out = out;
	for (i = 0; i < 2; i++) {
		util_copy_str(counts[i].service, NAME_BYTES, "svc");
		util_copy_str(counts[i].version, NAME_BYTES, i ? "v1" : "v2");
		counts_arg(argc, argv, i ? "old" : "new", &counts[i].requests,
			   &counts[i].failures, &counts[i].slow);
	}
	while (times-- > 0)
		rollout_on_own_counts(c->rollout, ms_arg(argc, argv, "ms"),
				      counts, 2);
}

/* peer [version=V] [bad=1]: the report of host h2 on version V. */
static void rollout_cmd_peer(void *ctx, uint32_t argc, char **argv,
			     struct buf *out)
{
	struct rollout_ctx *c = ctx;
	struct rollout_report report = { 0 };

	c->out = out;
	util_copy_str(report.service, NAME_BYTES, "svc");
	util_copy_str(report.version, NAME_BYTES,
		      script_arg(argc, argv, "version", "v2"));
	report.is_bad = (uint32_t)script_int(argc, argv, "bad", 0);
	rollout_on_peer_report(c->rollout, ms_arg(argc, argv, "ms"), "h2",
			       &report, 1);
}

/* report: prints what this host reports to its peers. */
static void rollout_cmd_report(void *ctx, uint32_t argc, char **argv,
			       struct buf *out)
{
	struct rollout_ctx *c = ctx;
	struct rollout_report reports[HEARTBEAT_ROLLOUTS_MAX];
	uint32_t count =
		rollout_fill_report(c->rollout, reports, countof(reports));
	uint32_t i;

	for (i = 0; i < count; i++)
		buf_addf(out, "%s %s bad %u, %u/%u/%u\n", reports[i].service,
			 reports[i].version, reports[i].is_bad,
			 reports[i].requests, reports[i].failures,
			 reports[i].slow);
}

static void rollout_cmd_tick(void *ctx, uint32_t argc, char **argv,
			     struct buf *out)
{
	struct rollout_ctx *c = ctx;
	int64_t now_us = ms_arg(argc, argv, "ms");

	c->out = out;
	rollout_tick(c->rollout, now_us, now_us / US_PER_MS);
}

static enum err_code code_arg(uint32_t argc, char **argv)
{
	const char *name = script_arg(argc, argv, "code", "OK");

	if (strcmp(name, "OK") == 0)
		return ERR_OK;
	if (strcmp(name, "STORE_CONFLICT") == 0)
		return ERR_STORE_CONFLICT;
	if (strcmp(name, "STORE_NOT_FOUND") == 0)
		return ERR_STORE_NOT_FOUND;
	if (strcmp(name, "CFG_RACE") == 0)
		return ERR_CFG_RACE;
	g_assert_cmpstr(name, ==, "STORE_UNKNOWN");
	return ERR_STORE_UNKNOWN;
}

/* granted [code=CODE] [lease=N]: the store answers the latest grant. */
static void rollout_cmd_granted(void *ctx, uint32_t argc, char **argv,
				struct buf *out)
{
	struct rollout_ctx *c = ctx;

	c->out = out;
	leadership_grant_done(rollout_leadership(c->rollout),
			      ms_arg(argc, argv, "ms"), c->call,
			      code_arg(argc, argv),
			      (uint64_t)script_int(argc, argv, "lease", 1),
			      &rollout_test_ops.leadership, c);
}

/* claimed [code=CODE] [version=N]: the store answers the latest claim. */
static void rollout_cmd_claimed(void *ctx, uint32_t argc, char **argv,
				struct buf *out)
{
	struct rollout_ctx *c = ctx;

	c->out = out;
	leadership_claim_done(rollout_leadership(c->rollout),
			      ms_arg(argc, argv, "ms"), c->call,
			      code_arg(argc, argv),
			      (uint64_t)script_int(argc, argv, "version", 1),
			      rollout_fence(c->rollout),
			      &rollout_test_ops.leadership, c);
}

/* renewed [code=CODE]: the store answers the latest renewal. */
static void rollout_cmd_renewed(void *ctx, uint32_t argc, char **argv,
				struct buf *out)
{
	struct rollout_ctx *c = ctx;

	leadership_renew_done(rollout_leadership(c->rollout),
			      ms_arg(argc, argv, "ms"), c->call,
			      code_arg(argc, argv));
}

/* written [code=CODE]: the store answers the latest write of the item. */
static void rollout_cmd_written(void *ctx, uint32_t argc, char **argv,
				struct buf *out)
{
	struct rollout_ctx *c = ctx;

	c->out = out;
	rollout_write_done(c->rollout, ms_arg(argc, argv, "ms"), "svc",
			   code_arg(argc, argv));
}

static void rollout_cmd_show(void *ctx, uint32_t argc, char **argv,
			     struct buf *out)
{
	struct rollout_ctx *c = ctx;
	int64_t now_us = ms_arg(argc, argv, "ms");
	uint64_t score;
	uint64_t threshold;

	rollout_get_score(c->rollout, "svc", &score, &threshold);
	buf_addf(out, "v1 %u v2 %u leads %d score %" PRIu64 " of %" PRIu64 "\n",
		 rollout_share_permille(c->rollout, "svc", "v1"),
		 rollout_share_permille(c->rollout, "svc", "v2"),
		 leadership_may_act(rollout_leadership(c->rollout), now_us),
		 score, threshold);
}

static const struct script_command rollout_commands[] = {
	{ "item", rollout_cmd_item },
	{ "evidence", rollout_cmd_evidence },
	{ "peer", rollout_cmd_peer },
	{ "report", rollout_cmd_report },
	{ "tick", rollout_cmd_tick },
	{ "granted", rollout_cmd_granted },
	{ "claimed", rollout_cmd_claimed },
	{ "renewed", rollout_cmd_renewed },
	{ "written", rollout_cmd_written },
	{ "show", rollout_cmd_show },
};

static void *slo_ctx_new(void)
{
	return slo_new();
}

static void slo_ctx_free(void *ctx)
{
	slo_free(ctx);
}

/* add [customer=C] [s=TIME] [good=N] [late=N] ...: adds to C's counts. */
static void slo_cmd_add(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct customer_counts counts = { 0 };

	util_copy_str(counts.customer, NAME_BYTES,
		      script_arg(argc, argv, "customer", "c1"));
	counts.good = (uint32_t)script_int(argc, argv, "good", 0);
	counts.late = (uint32_t)script_int(argc, argv, "late", 0);
	counts.partial = (uint32_t)script_int(argc, argv, "partial", 0);
	counts.refused = (uint32_t)script_int(argc, argv, "refused", 0);
	counts.lost = (uint32_t)script_int(argc, argv, "lost", 0);
	slo_add(ctx, script_int(argc, argv, "s", 0) * US_PER_S, &counts);
}

static void slo_cmd_show(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	const char *customer = script_arg(argc, argv, "customer", "c1");
	int64_t now_us = script_int(argc, argv, "s", 0) * US_PER_S;
	struct slo_report report;
	struct err err = { 0 };

	if (slo_report(ctx, now_us, customer, &report, &err) != ERR_OK) {
		buf_addf(out, "%s %s\n", err_name(err.code), err.detail);
		return;
	}
	buf_addf(out,
		 "fast %" PRIu64 " slow %" PRIu64 " left %u spent by %s "
		 "alarm %u, good %" PRIu64 " bad %" PRIu64 "\n",
		 report.fast_burn_milli, report.slow_burn_milli,
		 report.budget_left_permille, report.spent_by, report.alarm,
		 report.slow.good, slo_bad_count(&report.slow));
}

static void show_alarm(void *ctx, const struct slo_report *report)
{
	buf_addf(ctx, "%s alarm %u\n", report->customer, report->alarm);
}

/* alarms [s=TIME]: prints the alarms that changed since the last call. */
static void slo_cmd_alarms(void *ctx, uint32_t argc, char **argv,
			   struct buf *out)
{
	slo_each_alarm_change(ctx, script_int(argc, argv, "s", 0) * US_PER_S,
			      show_alarm, out);
}

static const struct script_command slo_commands[] = {
	{ "alarms", slo_cmd_alarms },
	{ "add", slo_cmd_add },
	{ "show", slo_cmd_show },
};

#define AREA(area)                                         \
	{                                                  \
		.name = #area, .ctx_new = area##_ctx_new,  \
		.ctx_free = area##_ctx_free,               \
		.command_count = countof(area##_commands), \
		.commands = area##_commands                \
	}

static const struct script_area areas[] = { AREA(evacuation), AREA(rollout),
					    AREA(slo) };

int main(int argc, char **argv)
{
	return script_main(argc, argv, areas, countof(areas));
}
