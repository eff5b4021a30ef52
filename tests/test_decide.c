/*
 * Scripted runs over the decisions of the request path, each called by itself:
 * no pipeline, no threads, and a clock that only the script moves.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "decide/admission.h"
#include "decide/balancer.h"
#include "decide/extra_budget.h"
#include "decide/forward.h"
#include "decide/merge.h"
#include "decide/hedge_delay.h"
#include "decide/rendezvous.h"
#include "decide/once.h"
#include "decide/target_state.h"
#include "decide/memory_account.h"
#include "script.h"

#define TARGETS_MAX 4
#define CANDIDATES_MAX 8

struct decide_ctx {
	/* Time that is passed to the modules. */
	int64_t now_us;
	struct extra_budget budget;
	struct admission admission;
	struct hedge_delay hedge_delay;
	struct once once;
	struct rng rng;
	/* By the number that scripts give as t=; NULL until "target". */
	struct target_state *targets[TARGETS_MAX];
	uint32_t candidate_count;
	struct forward_candidate candidates[CANDIDATES_MAX];
};

static void *decide_new(void)
{
	struct decide_ctx *c = util_alloc(1, sizeof(*c));

	c->rng.state = 1;
	hedge_delay_init(&c->hedge_delay, &hedge_delay_small_budget);
	return c;
}

static void decide_free(void *ctx)
{
	struct decide_ctx *c = ctx;
	uint32_t i;

	for (i = 0; i < TARGETS_MAX; i++) {
		if (c->targets[i])
			target_state_unref(c->targets[i]);
	}
	free(c);
}

static void cmd_wait(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct decide_ctx *c = ctx;

	c->now_us += script_int(argc, argv, "us", 0) +
		     script_int(argc, argv, "ms", 0) * US_PER_MS;
}

static void cmd_budget(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct decide_ctx *c = ctx;
	uint32_t spends = script_u32(argc, argv, "spend", 0);
	uint32_t granted = 0;

	if (script_arg(argc, argv, "extra", NULL))
		extra_budget_init(&c->budget,
				  script_u32(argc, argv, "extra", 0),
				  script_u32(argc, argv, "rate", 100));
	extra_budget_earn(&c->budget, script_u32(argc, argv, "earn", 0));
	while (spends-- > 0)
		granted += (uint32_t)extra_budget_spend(&c->budget);
	buf_addf(out, "granted %u fill %u\n", granted,
		 extra_budget_fill_permille(&c->budget));
}

static void cmd_contract(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct decide_ctx *c = ctx;
	struct contract contract = {
		.rate_per_s = script_u32(argc, argv, "rate", 100),
		.answer_ms = script_u32(argc, argv, "answer_ms", 100),
	};

	admission_configure(&c->admission, &contract,
			    script_u32(argc, argv, "hosts", 1), c->now_us);
	buf_addf(out, "rate %u burst %" PRId64 " limit %" PRIu64 "\n",
		 c->admission.rate_per_s,
		 c->admission.tokens_cap_micro / 1000000,
		 c->admission.limit_milli / 1000);
}

static void cmd_enter(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct decide_ctx *c = ctx;
	uint32_t count = script_u32(argc, argv, "count", 1);
	enum err_code last = ERR_OK;
	uint32_t entered = 0;
	struct err err;

	while (count-- > 0) {
		last = admission_enter(&c->admission, c->now_us, &err);
		entered += last == ERR_OK;
	}
	buf_addf(out, "entered %u last %s in_flight %u\n", entered,
		 err_name(last), c->admission.in_flight);
}

/* Ends count= requests with result=, every_us= apart. */
static void cmd_left(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	static const char *const names[] = { "good", "loaded", "neutral" };
	struct decide_ctx *c = ctx;
	const char *result = script_arg(argc, argv, "result", "good");
	uint32_t count = script_u32(argc, argv, "count", 1);
	int64_t every_us = script_int(argc, argv, "every_us", 0);
	uint32_t i;

	for (i = 0; i < countof(names); i++) {
		if (strcmp(names[i], result) == 0)
			break;
	}
	g_assert_cmpuint(i, <, countof(names));
	while (count-- > 0) {
		c->now_us += every_us;
		admission_leave(&c->admission, c->now_us,
				script_int(argc, argv, "elapsed_us", 1000),
				(enum admission_signal)i);
	}
	buf_addf(out, "in_flight %u limit %" PRIu64 "\n",
		 c->admission.in_flight, c->admission.limit_milli / 1000);
}

static void cmd_hedge(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct decide_ctx *c = ctx;
	uint32_t samples = script_u32(argc, argv, "samples", 0);
	uint32_t adjusts = script_u32(argc, argv, "adjusts", 0);

	while (samples-- > 0)
		hedge_delay_sample(&c->hedge_delay,
				   script_int(argc, argv, "service_us", 1000));
	while (adjusts-- > 0) {
		c->now_us += 100 * US_PER_MS;
		hedge_delay_adjust(&c->hedge_delay, c->now_us,
				   script_u32(argc, argv, "fill", 1000));
	}
	buf_addf(out, "mean %" PRId64 " factor %u delay %" PRId64 "\n",
		 c->hedge_delay.mean_us, c->hedge_delay.factor_milli,
		 hedge_delay_current_us(&c->hedge_delay));
}

static struct target_state *target_of(struct decide_ctx *c, uint32_t argc,
				      char **argv)
{
	struct target_state *t =
		c->targets[script_u32(argc, argv, "t", 0) % TARGETS_MAX];

	g_assert_nonnull(t);
	return t;
}

/* "usable" is printed for the owner of the target / for another host. */
static void print_target(const struct decide_ctx *c,
			 const struct target_state *t, struct buf *out)
{
	static const char *const phases[] = { "new", "cold", "warm" };

	buf_addf(out, "%s latency %" PRId64 " outstanding %u usable %d/%d\n",
		 phases[t->phase], t->latency_us, t->outstanding,
		 target_state_is_usable(t, c->now_us, 1),
		 target_state_is_usable(t, c->now_us, 0));
}

static void cmd_target(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct decide_ctx *c = ctx;
	uint32_t i = script_u32(argc, argv, "t", 0) % TARGETS_MAX;
	struct target definition = {
		.slots = script_u32(argc, argv, "slots", 2),
		.connections = script_u32(argc, argv, "connections", 40),
		.cold_slots = script_u32(argc, argv, "cold_slots", 1),
	};

	snprintf(definition.id, sizeof(definition.id), "t%u", i);
	if (c->targets[i])
		target_state_unref(c->targets[i]);
	c->targets[i] = target_state_new(&definition);
	print_target(c, c->targets[i], out);
}

static void cmd_sent(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct decide_ctx *c = ctx;
	uint32_t count = script_u32(argc, argv, "count", 1);

	while (count-- > 0)
		target_state_sent(target_of(c, argc, argv), c->now_us);
	print_target(c, target_of(c, argc, argv), out);
}

/* Sends count= sub-requests in turn, each answered after service_us=. */
static void cmd_good(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct decide_ctx *c = ctx;
	struct target_state *t = target_of(c, argc, argv);
	int64_t service_us = script_int(argc, argv, "service_us", 1000);
	uint32_t count = script_u32(argc, argv, "count", 1);

	while (count-- > 0) {
		target_state_sent(t, c->now_us);
		c->now_us += service_us;
		target_state_answered(t, c->now_us, service_us,
				      script_arg(argc, argv, "instance", "a"),
				      script_int(argc, argv, "peers_us", 0));
		c->now_us += script_int(argc, argv, "gap_us", 0);
	}
	print_target(c, t, out);
}

/*
 * Sends count= sub-requests that fail at once, with shed=1 because the target
 * shed them; with abandoned=US a faster replica won after US instead.
 */
static void cmd_bad(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct decide_ctx *c = ctx;
	struct target_state *t = target_of(c, argc, argv);
	uint32_t count = script_u32(argc, argv, "count", 1);

	while (count-- > 0) {
		target_state_sent(t, c->now_us);
		if (script_arg(argc, argv, "abandoned", NULL)) {
			target_state_abandoned(t, c->now_us,
					       script_int(argc, argv,
							  "abandoned", 0));
			target_state_inconclusive(t);
		} else {
			target_state_failed(t, c->now_us,
					    (int)script_int(argc, argv, "shed",
							    0));
		}
	}
	print_target(c, t, out);
}

static void cmd_announce(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct decide_ctx *c = ctx;
	struct target_state *t = target_of(c, argc, argv);
	int changed = target_state_announced(
		t, c->now_us, script_arg(argc, argv, "instance", "a"),
		(int)script_int(argc, argv, "warm", 1));

	buf_addf(out, "changed %d ", changed);
	print_target(c, t, out);
}

/* Prints how often each target was picked in draws= draws. */
static void cmd_pick(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct decide_ctx *c = ctx;
	struct balancer_candidate candidates[TARGETS_MAX] = { 0 };
	uint32_t picked[TARGETS_MAX + 1] = { 0 };
	uint32_t draws = script_u32(argc, argv, "draws", 1);
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < TARGETS_MAX; i++) {
		if (c->targets[i])
			candidates[count++].target = c->targets[i];
	}
	while (draws-- > 0) {
		i = balancer_pick(candidates, count, c->now_us, &c->rng);
		picked[i == BALANCER_NONE ? TARGETS_MAX : i]++;
	}
	for (i = 0; i < count; i++)
		buf_addf(out, "t%u=%u ", i, picked[i]);
	buf_addf(out, "none=%u\n", picked[TARGETS_MAX]);
}

/* Prints how many of 300 keys each of the given hosts owns, and the sum. */
static void cmd_owners(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	char hosts[SCRIPT_WORDS_MAX][NAME_BYTES];
	uint32_t owned[SCRIPT_WORDS_MAX] = { 0 };
	uint32_t owners = 0;
	uint32_t key;
	uint32_t i;

	for (i = 0; i < argc; i++)
		util_copy_str(hosts[i], NAME_BYTES, argv[i]);
	for (key = 0; key < 300; key++) {
		char name[NAME_BYTES];

		snprintf(name, sizeof(name), "k%u", key);
		for (i = 0; i < argc; i++) {
			if (!rendezvous_is_owner(name, hosts[i], hosts, argc))
				continue;
			owned[i]++;
			owners++;
		}
	}
	for (i = 0; i < argc; i++)
		buf_addf(out, "%s=%u ", hosts[i], owned[i]);
	buf_addf(out, "owners=%u\n", owners);
}

static void print_once(const struct once *o, enum once_step step,
		       struct buf *out)
{
	static const char *const steps[] = { "write", "read", "end" };
	static const char *const results[] = { "granted", "taken",
					       "unavailable", "unknown" };

	buf_addf(out, "%s", steps[step]);
	if (step == ONCE_WRITE)
		buf_addf(out, " if_version=%" PRIu64, o->version);
	if (step == ONCE_END)
		buf_addf(out, " %s version=%" PRIu64, results[o->result],
			 o->version);
	buf_addf(out, "\n");
}

struct code_search {
	const char *name;
	enum err_code code;
};

static void match_code(void *ctx, enum err_code code)
{
	struct code_search *s = ctx;

	if (strcmp(err_name(code), s->name) == 0)
		s->code = code;
}

static enum err_code code_arg(uint32_t argc, char **argv)
{
	struct code_search s = {
		.name = script_arg(argc, argv, "code", "OK"),
		.code = ERR_INTERNAL,
	};

	err_each(match_code, &s);
	g_assert_cmpint(s.code, !=, ERR_INTERNAL);
	return s.code;
}

static void cmd_once(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	once_init(&((struct decide_ctx *)ctx)->once,
		  script_arg(argc, argv, "token", "own"));
}

/* The store's answer to the write of a claim. */
static void cmd_written(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct once *o = &((struct decide_ctx *)ctx)->once;
	enum once_step step =
		once_on_write(o, code_arg(argc, argv),
			      (uint64_t)script_int(argc, argv, "version", 0));

	print_once(o, step, out);
}

/* Claim read from the store; without token= it could not be decoded. */
static void cmd_read(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct once *o = &((struct decide_ctx *)ctx)->once;
	const char *token = script_arg(argc, argv, "token", NULL);
	const char *outcome = script_arg(argc, argv, "outcome", "unknown");
	struct once_claim claim = { .outcome = OUTCOME_UNKNOWN };
	enum once_step step;

	if (token)
		util_copy_str(claim.token, sizeof(claim.token), token);
	if (strcmp(outcome, "not_run") == 0)
		claim.outcome = OUTCOME_NOT_RUN;
	if (strcmp(outcome, "done") == 0)
		claim.outcome = OUTCOME_DONE;
	step = once_on_read(o, code_arg(argc, argv),
			    (uint64_t)script_int(argc, argv, "version", 0),
			    token ? &claim : NULL);
	print_once(o, step, out);
}

static void cmd_coverage(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	buf_addf(out, "%s\n",
		 err_name(merge_check_coverage(
			 script_u32(argc, argv, "total", 1),
			 script_u32(argc, argv, "answered", 0),
			 script_u32(argc, argv, "need", 1000))));
}

static struct forward_power read_power(uint32_t argc, char **argv)
{
	return (struct forward_power){ script_u32(argc, argv, "core", 120),
				       script_u32(argc, argv, "link", 22) };
}

/*
 * candidate [core=PERMILLE] [link=MBPS] [remote=PARTS] [far=1] [open=N]
 * [avoid=MS]: one more host that may gather.
 */
static void cmd_candidate(void *ctx, uint32_t argc, char **argv,
			  struct buf *out)
{
	struct decide_ctx *c = ctx;

	c->candidates[c->candidate_count++] = (struct forward_candidate){
		.power = read_power(argc, argv),
		.remote_part_count = script_u32(argc, argv, "remote", 0),
		.is_near = !script_u32(argc, argv, "far", 0),
		.open_count = script_u32(argc, argv, "open", 0),
		.avoid_until_us = c->now_us +
				  script_int(argc, argv, "avoid", 0) * US_PER_MS
	};
}

/* nobody: forgets the candidates. */
static void cmd_nobody(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	((struct decide_ctx *)ctx)->candidate_count = 0;
}

/*
 * gather PARTS [bytes=N] [core=PERMILLE] [link=MBPS] [remote=PARTS]: prints
 * which candidates this host forwards 60 requests to.
 */
static void cmd_gather(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct decide_ctx *c = ctx;
	struct forward_power self = read_power(argc, argv);
	struct forward_load load = { (uint32_t)strtoul(argv[0], NULL, 10),
				     script_u32(argc, argv, "bytes", 1400) };
	uint32_t remote = script_u32(argc, argv, "remote", 0);
	uint32_t counts[CANDIDATES_MAX + 1] = { 0 };
	uint32_t i;

	for (i = 0; i < 60; i++) {
		uint32_t at = forward_pick(&self, remote, c->candidates,
					   c->candidate_count, &load, &c->rng,
					   c->now_us);

		counts[at == FORWARD_NONE ? CANDIDATES_MAX : at]++;
	}
	buf_addf(out, "takes %" PRId64 " us here; here %u",
		 forward_gather_us(&self, &load, remote),
		 counts[CANDIDATES_MAX]);
	for (i = 0; i < c->candidate_count; i++)
		buf_addf(out, " %u", counts[i]);
	buf_addf(out, "\n");
}

/* accept PARTS GOAL_MS [core=PERMILLE] [link=MBPS]: how many at once. */
static void cmd_accept(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct forward_power self = read_power(argc, argv);
	struct forward_load load = { (uint32_t)strtoul(argv[0], NULL, 10),
				     1400 };
	uint32_t n = 0;

	while (n < 1000 &&
	       forward_may_accept(&self, &load, n, atoll(argv[1]) * US_PER_MS))
		n++;
	buf_addf(out, "%u at once\n", n);
}

static const struct script_command commands[] = {
	{ "wait", cmd_wait },	      { "budget", cmd_budget },
	{ "contract", cmd_contract }, { "enter", cmd_enter },
	{ "left", cmd_left },	      { "hedge", cmd_hedge },
	{ "target", cmd_target },     { "sent", cmd_sent },
	{ "good", cmd_good },	      { "bad", cmd_bad },
	{ "announce", cmd_announce }, { "pick", cmd_pick },
	{ "owners", cmd_owners },     { "once", cmd_once },
	{ "written", cmd_written },   { "read", cmd_read },
	{ "coverage", cmd_coverage }, { "candidate", cmd_candidate },
	{ "nobody", cmd_nobody },     { "gather", cmd_gather },
	{ "accept", cmd_accept },
};

static const struct script_area area = {
	.name = "decide",
	.ctx_new = decide_new,
	.ctx_free = decide_free,
	.command_count = countof(commands),
	.commands = commands,
};

/* Owners, and services, that a script may name. */
#define HOLDS_MAX 8
#define SERVICES_MAX 8

struct memory_ctx {
	struct memory_account account;
	struct memory_hold holds[HOLDS_MAX];
};

static void *memory_new(void)
{
	return util_alloc(1, sizeof(struct memory_ctx));
}

static void memory_free(void *ctx)
{
	free(ctx);
}

/* limit KB: the memory for messages. */
static void cmd_memory_limit(void *ctx, uint32_t argc, char **argv,
			     struct buf *out)
{
	struct memory_ctx *m = ctx;

	m->account.limit_bytes = atoll(argv[0]) * 1024;
}

/* hold OWNER KB: what owner 0 to 7 holds; prints the sum. */
static void cmd_memory_hold(void *ctx, uint32_t argc, char **argv,
			    struct buf *out)
{
	struct memory_ctx *m = ctx;

	memory_hold_set(&m->holds[atoi(argv[0]) % HOLDS_MAX], &m->account,
			strtoull(argv[1], NULL, 10) * 1024);
	buf_addf(out, "%lld KB held\n",
		 (long long)m->account.held_bytes / 1024);
}

/* move FROM TO: owner TO takes over what FROM holds. */
static void cmd_memory_move(void *ctx, uint32_t argc, char **argv,
			    struct buf *out)
{
	struct memory_ctx *m = ctx;

	memory_hold_move(&m->holds[atoi(argv[1]) % HOLDS_MAX],
			 &m->holds[atoi(argv[0]) % HOLDS_MAX]);
	buf_addf(out, "%lld KB held\n",
		 (long long)m->account.held_bytes / 1024);
}

/* may: what a small and a large message, and a new request, may do. */
static void cmd_memory_may(void *ctx, uint32_t argc, char **argv,
			   struct buf *out)
{
	struct memory_ctx *m = ctx;

	buf_addf(out, "small %d large %d begin %d unfinished %zu KB\n",
		 memory_may_read(&m->account, MEMORY_SMALL_BYTES - 1),
		 memory_may_read(&m->account, MEMORY_SMALL_BYTES),
		 memory_may_begin(&m->account),
		 memory_unfinished_max(&m->account) / 1024);
}

/* pick SERVICE:BYTES...: prints the claim that is given up. */
static void cmd_memory_pick(void *ctx, uint32_t argc, char **argv,
			    struct buf *out)
{
	struct memory_claim claims[SCRIPT_WORDS_MAX];
	uint32_t i;

	for (i = 0; i < argc; i++) {
		claims[i].service = (uint32_t)atoi(argv[i]);
		claims[i].bytes = strtoull(strchr(argv[i], ':') + 1, NULL, 10);
	}
	buf_addf(out, "%s\n", argv[memory_pick(claims, argc, SERVICES_MAX)]);
}

static const struct script_command memory_commands[] = {
	{ "limit", cmd_memory_limit }, { "hold", cmd_memory_hold },
	{ "move", cmd_memory_move },   { "may", cmd_memory_may },
	{ "pick", cmd_memory_pick },
};

int main(int argc, char **argv)
{
	const struct script_area areas[] = {
		area,
		{ "memory", memory_new, memory_free, countof(memory_commands),
		  memory_commands },
	};

	return script_main(argc, argv, areas, countof(areas));
}
