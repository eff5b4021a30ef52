#include "sim.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "sim_impl.h"

/* A new view reaches each host at a random time within this. */
#define VIEW_SPREAD_US (100 * US_PER_MS)
/* Everything in flight at the last arrival ends within this. */
#define DRAIN_US (2 * US_PER_S)
/* Offered load of the fault SIM_FLOOD, as a multiple. */
#define FLOOD_FACTOR 4

struct sim_event {
	struct timer_entry timer;
	struct sim *sim;
	sim_event_fn *fn;
	void *arg;
};

const char *sim_fault_name(enum sim_fault fault)
{
	static const char *const names[] = {
#define DEF(id, name) name,
		SIM_FAULTS(DEF)
#undef DEF
	};

	return names[fault];
}

static void run_event(void *ctx, int64_t now_us)
{
	struct sim_event *e = ctx;

	e->fn(e->sim, e->arg);
	free(e);
}

void sim_after(struct sim *s, int64_t delay_us, sim_event_fn *fn, void *arg)
{
	struct sim_event *e = util_alloc(1, sizeof(*e));

	e->sim = s;
	e->fn = fn;
	e->arg = arg;
	timer_queue_arm(s->timers, &e->timer, s->now_us + delay_us, run_event,
			e);
}

void sim_violate(struct sim *s, const char *fmt, ...)
{
	va_list args;
	char *text;

	if (s->result->violations++)
		return;
	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	s->result->violation =
		g_strdup_printf("at %u us: %s", (uint32_t)s->now_us, text);
	g_free(text);
}

int sim_has(const struct sim *s, enum sim_fault fault)
{
	return (s->o.faults & SIM_BIT(fault)) != 0;
}

int sim_chance(struct sim *s, uint32_t permille)
{
	return rng_below(&s->rng, PERMILLE) < permille;
}

void sim_options_init(struct sim_options *o, uint64_t seed)
{
	*o = (struct sim_options){
		.seed = seed,
		.hosts = 3,
		.shards = 4,
		.replicas = 3,
		.slots = 2,
		.connections = 25,
		.cold_slots = 1,
		.mean_us = 5000,
		.net_us = 300,
		.answer_ms = 100,
		.coverage_permille = 500,
		.extra_permille = 100,
		.target_share_permille = 1000,
		.lookup_permille = 200,
		.customer_count = 1,
		.customers = { { 1000, 300 }, { 1000, 100 } },
		.duration_us = 500 * US_PER_MS,
		.fault_every_us = 150 * US_PER_MS,
		.fault_lasts_us = 80 * US_PER_MS,
	};
}

static void host_view_due(struct sim *s, void *arg)
{
	uint32_t no = GPOINTER_TO_UINT(arg);
	struct sim_host *h = &s->hosts[no];

	if (!h->alive)
		return;
	h->snapshot = s->snapshot;
	h->out_mask = s->out_mask;
	sim_host_view(s, no);
}

static void publish(struct sim *s)
{
	uint32_t i;

	for (i = 0; i < s->o.hosts; i++)
		sim_after(s, rng_below(&s->fault_rng, VIEW_SPREAD_US),
			  host_view_due, GUINT_TO_POINTER(i));
}

static uint32_t any_target(struct sim *s)
{
	return rng_below(&s->fault_rng, s->target_count);
}

static void target_up(struct sim *s, void *arg)
{
	struct sim_target *t = &s->targets[GPOINTER_TO_UINT(arg)];

	t->down = 0;
	t->silent = 0;
}

static void target_snapshot(struct sim *s, void *arg)
{
	s->targets[GPOINTER_TO_UINT(arg)].snapshot = s->snapshot;
}

static void change_snapshot(struct sim *s)
{
	uint32_t i;

	s->snapshot++;
	publish(s);
	for (i = 0; i < s->target_count; i++)
		sim_after(s, rng_below(&s->fault_rng, VIEW_SPREAD_US),
			  target_snapshot, GUINT_TO_POINTER(i));
}

/* Whether host @no is live; each host learns it with its next view. */
static void set_member_live(struct sim *s, uint32_t no, int is_live)
{
	uint32_t i;

	for (i = 0; i < s->o.hosts; i++) {
		if (is_live)
			s->hosts[i].members |= 1U << no;
		else if (i != no)
			s->hosts[i].members &= ~(1U << no);
	}
	publish(s);
}

static void host_back(struct sim *s, void *arg)
{
	uint32_t no = GPOINTER_TO_UINT(arg);

	if (s->stopping)
		return;
	sim_host_start(s, no);
	sim_host_view(s, no);
	set_member_live(s, no, 1);
}

static void kill_host(struct sim *s)
{
	uint32_t no = rng_below(&s->fault_rng, s->o.hosts);
	uint32_t alive = 0;
	uint32_t i;

	for (i = 0; i < s->o.hosts; i++)
		alive += (uint32_t)s->hosts[i].alive;
	if (alive < 2 || !s->hosts[no].alive)
		return;
	sim_host_kill(s, no);
	set_member_live(s, no, 0);
	sim_after(s, s->o.fault_lasts_us, host_back, GUINT_TO_POINTER(no));
}

/*
 * Gives one host a random set of live hosts, so that the hosts
 * disagree; with a chance of 400 permille it gets the full set.
 */
static void set_wrong_members(struct sim *s)
{
	uint32_t all = (1U << s->o.hosts) - 1;
	uint32_t no = rng_below(&s->fault_rng, s->o.hosts);

	s->hosts[no].members = (uint32_t)(rng_u64(&s->fault_rng) & all) |
			       1U << no;
	if (rng_below(&s->fault_rng, PERMILLE) < 400)
		s->hosts[no].members = all;
	if (s->hosts[no].alive)
		sim_host_view(s, no);
}

static void store_up(struct sim *s, void *arg)
{
	s->store_down = 0;
}

static void inject_target_fault(struct sim *s, enum sim_fault fault)
{
	uint32_t target = any_target(s);

	if (fault == SIM_RESTART) {
		sim_target_restart(s, target);
		return;
	}
	if (fault == SIM_DOWN)
		sim_target_break(s, target);
	s->targets[target].down = fault == SIM_DOWN;
	s->targets[target].silent = fault == SIM_SILENT;
	sim_after(s, s->o.fault_lasts_us, target_up, GUINT_TO_POINTER(target));
}

static void inject_fault(struct sim *s, enum sim_fault fault)
{
	switch (fault) {
	case SIM_RESTART:
	case SIM_DOWN:
	case SIM_SILENT:
		inject_target_fault(s, fault);
		break;
	case SIM_SNAPSHOT:
		change_snapshot(s);
		break;
	case SIM_DC_OUT:
		s->out_mask = s->out_mask ? 0
					  : 1U << rng_below(&s->fault_rng, 3);
		publish(s);
		break;
	case SIM_HOST_DEATH:
		kill_host(s);
		break;
	case SIM_MEMBERS:
		set_wrong_members(s);
		break;
	case SIM_STORE:
		s->store_down = 1;
		sim_after(s, s->o.fault_lasts_us / 3, store_up, NULL);
		break;
	default:
		break;
	}
}

static void fault_due(struct sim *s, void *arg)
{
	enum sim_fault fault = (enum sim_fault)GPOINTER_TO_UINT(arg);

	if (s->now_us >= s->o.duration_us)
		return;
	inject_fault(s, fault);
	sim_after(s,
		  1 + rng_below(&s->fault_rng,
				(uint32_t)(2 * s->o.fault_every_us)),
		  fault_due, arg);
}

static void take_replica_down(struct sim *s, void *arg)
{
	uint32_t i;

	for (i = 0; i < s->target_count; i += s->o.replicas) {
		sim_target_break(s, i);
		s->targets[i].down = 1;
	}
}

static void restart_replica(struct sim *s, void *arg)
{
	uint32_t i;

	for (i = 0; i < s->target_count; i += s->o.replicas)
		sim_target_restart(s, i);
}

static void start_targets(struct sim *s)
{
	uint32_t i;

	s->target_count = s->o.shards * s->o.replicas;
	g_assert_cmpuint(s->target_count, <=, SIM_TARGETS_MAX);
	for (i = 0; i < s->target_count; i++) {
		struct sim_target *t = &s->targets[i];

		g_queue_init(&t->queue);
		t->snapshot = s->snapshot;
		t->running_subs = g_ptr_array_new();
	}
}

/* The run begins with warm targets, as if their owners had announced them. */
static void announce_all(struct sim *s, uint32_t no)
{
	uint32_t i;

	for (i = 0; i < s->target_count; i++) {
		struct target_notice n = { .kind = TARGET_NOTICE_WARM };

		snprintf(n.target, sizeof(n.target), "t%u", i);
		snprintf(n.instance, sizeof(n.instance), "t%u-0", i);
		pipeline_on_notice(s->hosts[no].path, &n, s->now_us);
	}
}

static void start_hosts(struct sim *s)
{
	uint32_t i;

	for (i = 0; i < s->o.hosts; i++) {
		s->hosts[i].members = (1U << s->o.hosts) - 1;
		snprintf(s->hosts[i].name, sizeof(s->hosts[i].name), "h%u", i);
	}
	for (i = 0; i < s->o.hosts; i++) {
		sim_host_start(s, i);
		sim_host_view(s, i);
		announce_all(s, i);
	}
}

static void start_faults(struct sim *s)
{
	uint32_t i;

	if (sim_has(s, SIM_STRAGGLE))
		s->o.straggle_permille = 10;
	if (sim_has(s, SIM_FLOOD)) {
		s->o.queue_max = 8;
		s->o.customers[0].offered_per_s *= FLOOD_FACTOR;
	}
	for (i = 0; i < SIM_FAULT_COUNT; i++) {
		if (sim_has(s, (enum sim_fault)i))
			sim_after(s,
				  rng_below(&s->fault_rng,
					    (uint32_t)s->o.fault_every_us),
				  fault_due, GUINT_TO_POINTER(i));
	}
	if (s->o.lost_from_us)
		sim_after(s, s->o.lost_from_us, take_replica_down, NULL);
	if (s->o.cold_at_us)
		sim_after(s, s->o.cold_at_us, restart_replica, NULL);
}

static struct sim_result *result_new(void)
{
	struct sim_result *r = g_new0(struct sim_result, 1);
	uint32_t i;

	for (i = 0; i < SIM_CUSTOMERS_MAX; i++)
		r->latency_us[i] = g_array_new(FALSE, TRUE, sizeof(int64_t));
	r->requests_by_part = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	r->complete_by_part = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	r->complete_by_request = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	r->shards_by_request = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	return r;
}

void sim_result_free(struct sim_result *r)
{
	uint32_t i;

	for (i = 0; i < SIM_CUSTOMERS_MAX; i++)
		g_array_unref(r->latency_us[i]);
	g_array_unref(r->requests_by_part);
	g_array_unref(r->complete_by_part);
	g_array_unref(r->complete_by_request);
	g_array_unref(r->shards_by_request);
	g_free(r->violation);
	g_free(r);
}

static void free_sub(gpointer data)
{
	struct sim_sub *sub = data;

	if (sub->result)
		subrequest_result_free(sub->result);
	free(sub);
}

static void run_until(struct sim *s, int64_t end_us)
{
	int64_t next_us;

	while ((next_us = timer_queue_next_us(s->timers)) >= 0 &&
	       next_us <= end_us) {
		s->now_us = next_us;
		timer_queue_run(s->timers, next_us);
	}
	s->now_us = end_us;
}

static void stop(struct sim *s)
{
	uint32_t i;

	s->stopping = 1;
	for (i = 0; i < s->o.hosts; i++)
		sim_host_kill(s, i);
	run_until(s, INT64_MAX);
	for (i = 0; i < s->target_count; i++) {
		g_queue_clear(&s->targets[i].queue);
		g_ptr_array_unref(s->targets[i].running_subs);
	}
	g_ptr_array_unref(s->subs);
	g_ptr_array_unref(s->attempts);
	g_hash_table_destroy(s->store);
	g_hash_table_destroy(s->runs);
	timer_queue_free(s->timers);
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

struct sim_result *sim_run(const struct sim_options *o)
{
	struct sim *s = util_alloc(1, sizeof(*s));
	struct sim_result *r;
	uint32_t i;

	s->o = *o;
	s->timers = timer_queue_new();
	s->rng.state = o->seed * 3 + 1;
	s->caller_rng.state = o->seed * 3 + 2;
	s->fault_rng.state = o->seed * 3 + 3;
	s->pick_rng.state = o->seed * 5 + 1;
	s->attempts = g_ptr_array_new_with_free_func(free);
	s->subs = g_ptr_array_new_with_free_func(free_sub);
	s->store = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	s->runs = g_hash_table_new(g_str_hash, g_str_equal);
	s->result = r = result_new();
	s->snapshot = 1;
	start_targets(s);
	start_hosts(s);
	start_faults(s);
	sim_callers_start(s);
	run_until(s, o->duration_us + DRAIN_US);
	sim_callers_check(s);
	stop(s);
	for (i = 0; i < SIM_CUSTOMERS_MAX; i++)
		g_array_sort(r->latency_us[i], compare_times);
	free(s);
	return r;
}

int64_t sim_quantile_us(const struct sim_result *r, uint32_t customer,
			uint32_t permille10)
{
	const GArray *times = r->latency_us[customer];

	if (!times->len)
		return -1;
	return g_array_index(times, int64_t,
			     (guint64)(times->len - 1) * permille10 / 10000);
}
